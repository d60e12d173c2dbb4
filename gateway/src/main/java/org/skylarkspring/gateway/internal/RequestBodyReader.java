package org.skylarkspring.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the complete body of a request into memory. If a body exceeds the limit, the
 * remaining bytes are read and discarded, so that the caller can still read the error
 * response.
 */
final class RequestBodyReader {

	private static final int MAXIMUM_INITIAL_CAPACITY_BYTES = 16 * 1024;

	private final HttpServerExchange exchange;

	private final long maximumBytes;

	private final Consumer<Optional<byte[]>> onComplete;

	private final Runnable onFailure;

	private final ByteArrayOutputStream body;

	private long receivedBytes;

	private boolean ended;

	private RequestBodyReader(HttpServerExchange exchange, long maximumBytes, Consumer<Optional<byte[]>> onComplete,
			Runnable onFailure) {
		this.exchange = exchange;
		this.maximumBytes = maximumBytes;
		this.onComplete = onComplete;
		this.onFailure = onFailure;
		this.body = new ByteArrayOutputStream(
				(int) Math.min(MAXIMUM_INITIAL_CAPACITY_BYTES, Math.max(0, exchange.getRequestContentLength())));
	}

	/**
	 * Starts reading the body.
	 * @param exchange the exchange whose body is read
	 * @param maximumBytes maximum size of the body, in bytes
	 * @param onComplete receives the body, or an empty value if it exceeds the limit
	 * @param onFailure called if the connection fails before the end of the body
	 */
	static void read(HttpServerExchange exchange, long maximumBytes, Consumer<Optional<byte[]>> onComplete,
			Runnable onFailure) {
		RequestBodyReader reader = new RequestBodyReader(exchange, maximumBytes, onComplete, onFailure);
		StreamSourceChannel channel = exchange.getRequestChannel();
		channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) reader::readAvailable);
		reader.readAvailable(channel);
	}

	private void readAvailable(StreamSourceChannel channel) {
		if (this.ended) {
			return;
		}
		try (PooledByteBuffer pooled = this.exchange.getConnection().getByteBufferPool().allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			while (true) {
				buffer.clear();
				int count = channel.read(buffer);
				if (count == 0) {
					channel.resumeReads();
					return;
				}
				if (count < 0) {
					break;
				}
				buffer.flip();
				appendWithinLimit(buffer);
			}
		}
		catch (IOException ex) {
			this.ended = true;
			this.onFailure.run();
			return;
		}
		this.ended = true;
		channel.suspendReads();
		this.onComplete
			.accept((this.receivedBytes > this.maximumBytes) ? Optional.empty() : Optional.of(this.body.toByteArray()));
	}

	private void appendWithinLimit(ByteBuffer part) {
		this.receivedBytes += part.remaining();
		if (this.receivedBytes <= this.maximumBytes) {
			byte[] bytes = new byte[part.remaining()];
			part.get(bytes);
			this.body.writeBytes(bytes);
		}
	}

}
