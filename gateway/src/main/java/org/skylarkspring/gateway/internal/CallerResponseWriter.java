package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

import org.skylarkspring.gateway.pressure.ResponseMemory;

/**
 * Writes the response to a caller in parts. If a response cannot be completed, its
 * connection is closed before the last chunk or, where the caller does not know chunks,
 * reset, so that the caller never takes it for a complete one.
 */
final class CallerResponseWriter {

	private static final int MAXIMUM_BYTES_WITH_HEAD = 4 * 1024;

	private final HttpServerExchange exchange;

	private final PendingBytes pending = new PendingBytes();

	private final Runnable onDrained;

	private final ResponseMemory memory;

	/** Bytes that the caller has not taken, until its connection takes or drops them. */
	private final ResponseMemory.Share share;

	private StreamSinkChannel sink;

	/** Whether the reads from the server wait until the pending bytes are written. */
	private boolean readsSuspended;

	private boolean bodyStarted;

	private boolean endRequested;

	private boolean closed;

	CallerResponseWriter(HttpServerExchange exchange, Runnable onDrained, ResponseMemory memory) {
		this.exchange = exchange;
		this.onDrained = onDrained;
		this.memory = memory;
		this.share = memory.openShare();
		exchange.addExchangeCompleteListener((completed, next) -> {
			this.share.close();
			next.proceed();
		});
	}

	int pendingBytes() {
		return this.pending.size();
	}

	boolean isStarted() {
		return this.sink != null || this.closed;
	}

	void startResponse(int status, HeaderMap headers) {
		setStatusAndHeaders(status, headers);
		if (this.exchange.isHttp11()) {
			this.exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
		}
		else {
			setResetOnClose(true);
		}
		openSink();
	}

	private void openSink() {
		this.sink = this.exchange.getResponseChannel();
		this.sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (channel) -> flushPending());
	}

	/**
	 * Writes part of the body.
	 * @param part the bytes to write
	 * @return {@code false} if too many bytes are pending, so that reading from the
	 * server should be suspended
	 */
	boolean write(byte[] part) {
		if (this.closed) {
			return true;
		}
		addPending(part);
		flushPending();
		this.readsSuspended = this.pending.size() > this.memory.maximumPendingBytes();
		return !this.readsSuspended;
	}

	// The connection keeps the buffer that is written with the head until its next
	// response, even if nobody sends another request.
	private void addPending(byte[] part) {
		if (this.bodyStarted || part.length <= MAXIMUM_BYTES_WITH_HEAD) {
			this.pending.add(part);
		}
		else {
			this.pending.add(Arrays.copyOf(part, MAXIMUM_BYTES_WITH_HEAD));
			this.pending.add(ByteBuffer.wrap(part, MAXIMUM_BYTES_WITH_HEAD, part.length - MAXIMUM_BYTES_WITH_HEAD));
		}
		this.bodyStarted = true;
	}

	void end() {
		this.endRequested = true;
		flushPending();
	}

	void abort() {
		this.closed = true;
		this.share.close();
		IoUtils.safeClose(this.exchange.getConnection());
	}

	/**
	 * Writes a complete response.
	 * @param status status code
	 * @param headers response headers
	 * @param body the body, may be empty
	 */
	void sendComplete(int status, HeaderMap headers, byte[] body) {
		setStatusAndHeaders(status, headers);
		if (body.length == 0) {
			this.closed = true;
			this.exchange.endExchange();
			return;
		}
		this.exchange.setResponseContentLength(body.length);
		openSink();
		addPending(body);
		end();
	}

	private void setResetOnClose(boolean reset) {
		try {
			this.exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
		}
		catch (IOException ex) {
			// The connection is closed already.
			this.closed = true;
		}
	}

	private void setStatusAndHeaders(int status, HeaderMap headers) {
		this.exchange.setStatusCode(status);
		for (HttpString name : headers.getHeaderNames()) {
			this.exchange.getResponseHeaders().putAll(name, headers.get(name));
		}
	}

	private void flushPending() {
		if (this.closed) {
			return;
		}
		try {
			boolean written = this.pending.writeTo(this.sink);
			this.share.set(this.pending.capacity());
			if (!written) {
				this.sink.resumeWrites();
				return;
			}
			if (this.endRequested) {
				this.closed = true;
				if (!this.exchange.isHttp11()) {
					setResetOnClose(false);
				}
				this.exchange.endExchange();
				return;
			}
			if (this.sink.flush()) {
				this.sink.suspendWrites();
			}
			else {
				this.sink.resumeWrites();
			}
		}
		catch (IOException ex) {
			// The caller has disconnected; its connection's close listener ends the
			// request.
			abort();
			return;
		}
		if (this.readsSuspended) {
			this.readsSuspended = false;
			this.onDrained.run();
		}
	}

}
