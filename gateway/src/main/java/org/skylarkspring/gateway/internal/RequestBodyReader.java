package org.skylarkspring.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

import org.skylarkspring.gateway.pressure.BufferedBytes;

/**
 * Reads the complete body of a request into memory, within limits. Stops reading as soon
 * as a limit is exceeded, because a body may be endless; the exchange then has to be
 * ended by {@link LingeringClose}.
 */
final class RequestBodyReader {

	private static final int MAXIMUM_INITIAL_CAPACITY_BYTES = 16 * 1024;

	/** Number of bytes read before other connections get their turn. */
	private static final int READ_BATCH_BYTES = 64 * 1024;

	private final HttpServerExchange exchange;

	private final Limits limits;

	private final Consumer<RequestBody> callback;

	private final ByteArrayOutputStream body;

	private final Scheduler.Timer timer;

	private boolean ended;

	private RequestBodyReader(HttpServerExchange exchange, Limits limits, Scheduler scheduler,
			Consumer<RequestBody> callback) {
		this.exchange = exchange;
		this.limits = limits;
		this.callback = callback;
		this.timer = scheduler.schedule(limits.timeoutMillis(), () -> end(new RequestBody.TimedOut()));
		this.body = new ByteArrayOutputStream(
				(int) Math.min(MAXIMUM_INITIAL_CAPACITY_BYTES, Math.max(0, exchange.getRequestContentLength())));
	}

	/**
	 * Starts reading the body.
	 * @param exchange the exchange whose body is read
	 * @param limits limits of the body
	 * @param scheduler timers
	 * @param callback receives the result, exactly once
	 */
	static void read(HttpServerExchange exchange, Limits limits, Scheduler scheduler, Consumer<RequestBody> callback) {
		create(exchange, limits, scheduler, callback).start();
	}

	/**
	 * Creates a reader that has not been started.
	 * @param exchange the exchange whose body is read
	 * @param limits limits of the body
	 * @param scheduler timers
	 * @param callback receives the result, exactly once
	 * @return the reader
	 */
	static RequestBodyReader create(HttpServerExchange exchange, Limits limits, Scheduler scheduler,
			Consumer<RequestBody> callback) {
		return new RequestBodyReader(exchange, limits, scheduler, callback);
	}

	void start() {
		StreamSourceChannel channel = this.exchange.getRequestChannel();
		channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::readAvailable);
		readAvailable(channel);
	}

	/** Gives up reading, unless the reader has ended. */
	void interrupt() {
		end(new RequestBody.Interrupted());
	}

	private void readAvailable(StreamSourceChannel channel) {
		if (this.ended) {
			return;
		}
		try (PooledByteBuffer pooled = this.exchange.getConnection().getByteBufferPool().allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			int batchBytes = 0;
			while (batchBytes < READ_BATCH_BYTES) {
				buffer.clear();
				int count = channel.read(buffer);
				if (count == 0) {
					break;
				}
				if (count < 0) {
					channel.suspendReads();
					end(new RequestBody.Complete(this.body.toByteArray()));
					return;
				}
				batchBytes += count;
				buffer.flip();
				if (!append(channel, buffer)) {
					return;
				}
			}
			channel.resumeReads();
		}
		catch (IOException ex) {
			end(new RequestBody.ConnectionFailed(String.valueOf(ex.getMessage())));
		}
	}

	private boolean append(StreamSourceChannel channel, ByteBuffer part) {
		if (this.body.size() + part.remaining() > this.limits.maximumBytes()) {
			channel.suspendReads();
			end(new RequestBody.TooLarge());
			return false;
		}
		if (!this.limits.memory().tryReserve(part.remaining())) {
			channel.suspendReads();
			end(new RequestBody.MemoryExhausted());
			return false;
		}
		byte[] bytes = new byte[part.remaining()];
		part.get(bytes);
		this.body.writeBytes(bytes);
		return true;
	}

	private void end(RequestBody result) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.timer.cancel();
		if (!(result instanceof RequestBody.Complete)) {
			this.limits.memory().release(this.body.size());
		}
		this.callback.accept(result);
	}

	/**
	 * Limits of a body.
	 *
	 * @param maximumBytes maximum size in bytes
	 * @param timeoutMillis maximum time until its end is received, in milliseconds
	 * @param memory limit of the bytes that all bodies may occupy
	 */
	record Limits(long maximumBytes, long timeoutMillis, BufferedBytes memory) {
	}

}
