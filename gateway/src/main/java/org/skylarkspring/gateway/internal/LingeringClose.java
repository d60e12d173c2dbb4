package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends a response to a request whose body has not been read completely, and closes the
 * connection. Before closing, discards what the caller still sends, up to a limit,
 * because closing a connection with unread bytes resets it and the caller might lose the
 * response.
 */
final class LingeringClose {

	private static final int MAXIMUM_DISCARDED_BYTES = 1024 * 1024;

	private static final long MAXIMUM_LINGER_MILLIS = 1_000;

	private final HttpServerExchange exchange;

	private int discardedBytes;

	private LingeringClose(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Sends an empty response and closes the connection.
	 * @param exchange the exchange; no response may have been started
	 * @param status status code of the response
	 * @param scheduler timers
	 */
	static void respondAndClose(HttpServerExchange exchange, int status, Scheduler scheduler) {
		LingeringClose close = new LingeringClose(exchange);
		scheduler.schedule(MAXIMUM_LINGER_MILLIS, close::closeNow);
		close.sendResponse(status);
		close.discardRequest();
	}

	private void sendResponse(int status) {
		this.exchange.setPersistent(false);
		this.exchange.setStatusCode(status);
		this.exchange.setResponseContentLength(0);
		this.exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		StreamSinkChannel sink = this.exchange.getResponseChannel();
		sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) this::flush);
		try {
			sink.shutdownWrites();
			flush(sink);
		}
		catch (IOException ex) {
			// The caller has disconnected, so that nobody waits for the response.
			closeNow();
		}
	}

	private void flush(StreamSinkChannel sink) {
		try {
			if (sink.flush()) {
				sink.suspendWrites();
			}
			else {
				sink.resumeWrites();
			}
		}
		catch (IOException ex) {
			// As above.
			closeNow();
		}
	}

	private void discardRequest() {
		Optional.ofNullable(Connectors.getExistingRequestChannel(this.exchange))
			.or(() -> Optional.ofNullable(this.exchange.getRequestChannel()))
			.ifPresentOrElse((channel) -> {
				channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::discardAvailable);
				channel.resumeReads();
			}, this::closeNow);
	}

	private void discardAvailable(StreamSourceChannel channel) {
		try (PooledByteBuffer pooled = this.exchange.getConnection().getByteBufferPool().allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			buffer.clear();
			int count = channel.read(buffer);
			this.discardedBytes += Math.max(0, count);
			if (count < 0 || this.discardedBytes > MAXIMUM_DISCARDED_BYTES) {
				closeNow();
			}
		}
		catch (IOException ex) {
			// The caller has closed the connection first.
			closeNow();
		}
	}

	private void closeNow() {
		IoUtils.safeClose(this.exchange.getConnection());
	}

}
