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
 * Reads the body of a request whole. Of a body above the limit the rest is read and
 * forgotten, so that the caller can read the refusal.
 */
final class BodyReader {

	private static final int MAXIMUM_INITIAL_BYTES = 16 * 1024;

	private final HttpServerExchange exchange;

	private final long maximumBytes;

	private final Consumer<Optional<byte[]>> whole;

	private final Runnable broken;

	private final ByteArrayOutputStream body;

	private long received;

	private boolean ended;

	private BodyReader(HttpServerExchange exchange, long maximumBytes, Consumer<Optional<byte[]>> whole,
			Runnable broken) {
		this.exchange = exchange;
		this.maximumBytes = maximumBytes;
		this.whole = whole;
		this.broken = broken;
		this.body = new ByteArrayOutputStream(
				(int) Math.min(MAXIMUM_INITIAL_BYTES, Math.max(0, exchange.getRequestContentLength())));
	}

	/**
	 * Starts to read.
	 * @param exchange the exchange
	 * @param maximumBytes limit of the body
	 * @param whole receives the body, or nothing if it is above the limit
	 * @param broken called if the connection breaks before the end
	 */
	static void read(HttpServerExchange exchange, long maximumBytes, Consumer<Optional<byte[]>> whole,
			Runnable broken) {
		BodyReader reader = new BodyReader(exchange, maximumBytes, whole, broken);
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
				keep(buffer);
			}
		}
		catch (IOException ex) {
			this.ended = true;
			this.broken.run();
			return;
		}
		this.ended = true;
		channel.suspendReads();
		this.whole
			.accept((this.received > this.maximumBytes) ? Optional.empty() : Optional.of(this.body.toByteArray()));
	}

	private void keep(ByteBuffer part) {
		this.received += part.remaining();
		if (this.received <= this.maximumBytes) {
			byte[] bytes = new byte[part.remaining()];
			part.get(bytes);
			this.body.writeBytes(bytes);
		}
	}

}
