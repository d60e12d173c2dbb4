package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller leaves while its request is being served. The server library does
 * not read the connection in that time, so an end of the stream would go unseen.
 */
final class CallerDisconnectDetector implements ReadReadyHandler {

	private final HttpServerConnection connection;

	private final StreamSourceConduit conduit;

	private final Runnable onDisconnect;

	private boolean stopped;

	private CallerDisconnectDetector(HttpServerConnection connection, Runnable onDisconnect) {
		this.connection = connection;
		this.conduit = connection.getOriginalSourceConduit();
		this.onDisconnect = onDisconnect;
	}

	/**
	 * Starts to watch a connection whose request has been read whole.
	 * @param exchange the exchange
	 * @param onDisconnect called when the caller has closed the connection
	 * @return the watch, to be stopped before the answer ends
	 */
	static CallerDisconnectDetector start(HttpServerExchange exchange, Runnable onDisconnect) {
		CallerDisconnectDetector watch = new CallerDisconnectDetector((HttpServerConnection) exchange.getConnection(),
				onDisconnect);
		if (watch.connection.getExtraBytes() != null) {
			// The next request is here already; the connection is read again after the
			// answer.
			watch.stopped = true;
			return watch;
		}
		watch.conduit.setReadReadyHandler(watch);
		watch.conduit.resumeReads();
		return watch;
	}

	void stop() {
		if (this.stopped) {
			return;
		}
		this.stopped = true;
		this.conduit.suspendReads();
		ConduitStreamSourceChannel channel = this.connection.getChannel().getSourceChannel();
		this.conduit.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
	}

	@Override
	public void readReady() {
		PooledByteBuffer pooled = this.connection.getByteBufferPool().allocate();
		boolean kept = false;
		try {
			ByteBuffer buffer = pooled.getBuffer();
			int count = this.conduit.read(buffer);
			if (count < 0) {
				handleDisconnect();
			}
			else if (count > 0) {
				buffer.flip();
				stop();
				this.connection.ungetRequestBytes(pooled);
				kept = true;
			}
		}
		catch (IOException ex) {
			// A reset tells the same as an end of the stream.
			handleDisconnect();
		}
		finally {
			if (!kept) {
				pooled.close();
			}
		}
	}

	private void handleDisconnect() {
		stop();
		this.onDisconnect.run();
		IoUtils.safeClose(this.connection);
	}

	@Override
	public void forceTermination() {
		handleDisconnect();
	}

	@Override
	public void terminated() {
		handleDisconnect();
	}

}
