package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Accepts the connections of callers and reads from them through a
 * {@link RequestLineConduit}, which the builder of the HTTP server has no option for.
 */
final class CallerListener {

	private final HttpOpenListener httpListener;

	private final AcceptingChannel<StreamConnection> acceptor;

	private CallerListener(HttpOpenListener httpListener, AcceptingChannel<StreamConnection> acceptor) {
		this.httpListener = httpListener;
		this.acceptor = acceptor;
	}

	/**
	 * Starts to accept connections.
	 * @param worker owner of the I/O thread
	 * @param buffers pool of the buffers for request heads
	 * @param address address to listen on
	 * @param backlog maximum number of connections that wait to be accepted
	 * @param serverOptions options of the HTTP server
	 * @param handler handles the requests
	 * @return the listener
	 * @throws UncheckedIOException if the address is not available
	 */
	static CallerListener open(XnioWorker worker, ByteBufferPool buffers, InetSocketAddress address, int backlog,
			OptionMap serverOptions, HttpHandler handler) {
		HttpOpenListener httpListener = new HttpOpenListener(buffers, serverOptions);
		httpListener.setRootHandler(handler);
		OptionMap socketOptions = OptionMap.builder()
			.set(Options.TCP_NODELAY, true)
			.set(Options.REUSE_ADDRESSES, true)
			.set(Options.BACKLOG, backlog)
			.getMap();
		try {
			AcceptingChannel<StreamConnection> acceptor = worker.createStreamConnectionServer(address,
					ChannelListeners.openListenerAdapter((connection) -> onAccepted(connection, httpListener)),
					socketOptions);
			acceptor.resumeAccepts();
			return new CallerListener(httpListener, acceptor);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("callers cannot be accepted on " + address, ex);
		}
	}

	private static void onAccepted(StreamConnection connection, HttpOpenListener httpListener) {
		ConduitStreamSourceChannel source = connection.getSourceChannel();
		source.setConduit(new RequestLineConduit(source.getConduit()));
		httpListener.handleEvent(connection);
	}

	InetSocketAddress address() {
		return this.acceptor.getLocalAddress(InetSocketAddress.class);
	}

	/**
	 * Changes the options of connections that are accepted from now on.
	 * @param options all options of the HTTP server
	 */
	void setServerOptions(OptionMap options) {
		this.httpListener.setUndertowOptions(options);
	}

}
