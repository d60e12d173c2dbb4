package org.skylarkspring.gateway.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.Option;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Opens connections on an I/O thread, checks the responses that are read from them,
 * tracks whether a request was written to them and lets them be closed at any time. The
 * HTTP client itself reads a head without a limit and without returning to the event
 * loop, so that a head without end would exhaust the memory and block all other
 * connections. The client connects through the thread that it is given, which is why this
 * class extends {@link XnioIoThread}; it is never started.
 */
final class CheckingConnector extends XnioIoThread {

	/** Connect option with the checks of the response on the connection. */
	static final Option<ResponseChecks> RESPONSE_CHECKS = Option.simple(CheckingConnector.class, "RESPONSE_CHECKS",
			ResponseChecks.class);

	/** Connect option with the tracker of the bytes written to the connection. */
	static final Option<WriteTracker> WRITE_TRACKER = Option.simple(CheckingConnector.class, "WRITE_TRACKER",
			WriteTracker.class);

	/** Connect option that receives the connection. */
	static final Option<RawConnection> RAW_CONNECTION = Option.simple(CheckingConnector.class, "RAW_CONNECTION",
			RawConnection.class);

	private final XnioIoThread ioThread;

	CheckingConnector(XnioIoThread ioThread) {
		super(ioThread.getWorker(), ioThread.getNumber());
		this.ioThread = ioThread;
	}

	@Override
	public IoFuture<StreamConnection> openStreamConnection(SocketAddress destination,
			ChannelListener<? super StreamConnection> openListener, OptionMap options) {
		ResponseChecks checks = options.get(RESPONSE_CHECKS);
		WriteTracker writeTracker = options.get(WRITE_TRACKER);
		RawConnection rawConnection = options.get(RAW_CONNECTION);
		IoFuture<StreamConnection> attempt = this.ioThread.openStreamConnection(destination, (connection) -> {
			rawConnection.onEstablished(connection);
			ConduitStreamSourceChannel source = connection.getSourceChannel();
			source.setConduit(new ResponseCheckingConduit(source.getConduit(), checks));
			ConduitStreamSinkChannel sink = connection.getSinkChannel();
			sink.setConduit(new WriteTrackingConduit(sink.getConduit(), writeTracker));
			openListener.handleEvent(connection);
		}, options);
		rawConnection.onStarted(attempt);
		return attempt;
	}

	@Override
	public void execute(Runnable task) {
		this.ioThread.execute(task);
	}

	@Override
	public Key executeAfter(Runnable task, long delay, TimeUnit unit) {
		return this.ioThread.executeAfter(task, delay, unit);
	}

	@Override
	public Key executeAtInterval(Runnable task, long interval, TimeUnit unit) {
		return this.ioThread.executeAtInterval(task, interval, unit);
	}

}
