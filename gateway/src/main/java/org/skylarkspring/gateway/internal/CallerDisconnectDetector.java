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
 * Detects that a caller disconnects while its request is being served. During this time
 * the HTTP server does not read from the connection and would miss the end of the stream.
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
	 * Starts to monitor a connection whose request has been read completely.
	 * @param exchange the exchange
	 * @param onDisconnect called when the caller has closed the connection
	 * @return the detector, which must be stopped before the response ends
	 */
	static CallerDisconnectDetector start(HttpServerExchange exchange, Runnable onDisconnect) {
		CallerDisconnectDetector detector = new CallerDisconnectDetector(
				(HttpServerConnection) exchange.getConnection(), onDisconnect);
		if (detector.connection.getExtraBytes() != null) {
			// The next pipelined request has already arrived; the connection is read
			// again after the response.
			detector.stopped = true;
			return detector;
		}
		detector.conduit.setReadReadyHandler(detector);
		detector.conduit.resumeReads();
		return detector;
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
		boolean returnedToConnection = false;
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
				returnedToConnection = true;
			}
		}
		catch (IOException ex) {
			// A connection reset is handled like an end of the stream.
			handleDisconnect();
		}
		finally {
			if (!returnedToConnection) {
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
