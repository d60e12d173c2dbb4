package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the answer to a caller part by part. An answer that can't be completed ends with
 * its connection, so that it never looks complete.
 */
final class CallerResponseWriter {

	/** Bytes waiting for the caller above which the server isn't read any further. */
	private static final int MAXIMUM_PENDING_BYTES = 64 * 1024;

	private final HttpServerExchange exchange;

	private final Deque<ByteBuffer> pending = new ArrayDeque<>();

	private final Runnable onDrained;

	private StreamSinkChannel sink;

	private int pendingBytes;

	private boolean endRequested;

	private boolean closed;

	CallerResponseWriter(HttpServerExchange exchange, Runnable onDrained) {
		this.exchange = exchange;
		this.onDrained = onDrained;
	}

	int pendingBytes() {
		return this.pendingBytes;
	}

	boolean isStarted() {
		return this.sink != null || this.closed;
	}

	void startResponse(int status, HeaderMap headers) {
		setStatusAndHeaders(status, headers);
		this.sink = this.exchange.getResponseChannel();
		this.sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (ready) -> flushPending());
	}

	/**
	 * Writes part of the body.
	 * @param part the part
	 * @return whether the caller keeps up
	 */
	boolean write(byte[] part) {
		if (this.closed) {
			return true;
		}
		this.pending.addLast(ByteBuffer.wrap(part));
		this.pendingBytes += part.length;
		flushPending();
		return this.pendingBytes <= MAXIMUM_PENDING_BYTES;
	}

	void end() {
		this.endRequested = true;
		flushPending();
	}

	void abort() {
		this.closed = true;
		IoUtils.safeClose(this.exchange.getConnection());
	}

	/**
	 * Writes a whole answer.
	 * @param status status of the answer
	 * @param headers headers of the answer
	 * @param body the body
	 */
	void sendComplete(int status, HeaderMap headers, byte[] body) {
		this.closed = true;
		setStatusAndHeaders(status, headers);
		if (body.length == 0) {
			this.exchange.endExchange();
			return;
		}
		this.exchange.setResponseContentLength(body.length);
		this.exchange.getResponseSender().send(ByteBuffer.wrap(body));
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
		boolean lagging = this.pendingBytes > MAXIMUM_PENDING_BYTES;
		try {
			if (!writePending()) {
				this.sink.resumeWrites();
				return;
			}
			if (this.endRequested) {
				this.closed = true;
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
			// The caller is gone; its connection's close listener ends the call.
			abort();
			return;
		}
		if (lagging) {
			this.onDrained.run();
		}
	}

	private boolean writePending() throws IOException {
		while (!this.pending.isEmpty()) {
			ByteBuffer next = this.pending.peekFirst();
			int count = this.sink.write(next);
			this.pendingBytes -= count;
			if (next.hasRemaining()) {
				return false;
			}
			this.pending.removeFirst();
		}
		return true;
	}

}
