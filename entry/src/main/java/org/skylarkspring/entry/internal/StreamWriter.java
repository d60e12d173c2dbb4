package org.skylarkspring.entry.internal;

import java.io.IOException;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;

/**
 * Writes a streamed response without blocking. Text that is added while a write is in
 * progress is buffered and sent by the next write. Not thread-safe; must be used on the
 * exchange's I/O thread only.
 */
final class StreamWriter {

	/** Number of pending characters above which reading from the source should pause. */
	private static final int HIGH_WATER_MARK_CHARACTERS = 64 * 1024;

	private final HttpServerExchange exchange;

	private final Runnable onWritten;

	private final Runnable onWriteFailed;

	private final StringBuilder pending = new StringBuilder();

	private boolean writing;

	private boolean closeRequested;

	private boolean writeFailed;

	StreamWriter(HttpServerExchange exchange, Runnable onWritten, Runnable onWriteFailed) {
		this.exchange = exchange;
		this.onWritten = onWritten;
		this.onWriteFailed = onWriteFailed;
	}

	void write(String text) {
		if (!this.writeFailed && !this.closeRequested) {
			this.pending.append(text);
			sendPending();
		}
	}

	void close() {
		this.closeRequested = true;
		sendPending();
	}

	boolean isAboveHighWaterMark() {
		return this.pending.length() > HIGH_WATER_MARK_CHARACTERS;
	}

	private void sendPending() {
		if (this.writing || this.writeFailed) {
			return;
		}
		if (this.pending.isEmpty()) {
			if (this.closeRequested) {
				this.exchange.endExchange();
			}
			return;
		}
		String chunk = this.pending.toString();
		this.pending.setLength(0);
		this.writing = true;
		this.exchange.getResponseSender().send(chunk, new WriteCallback());
	}

	private final class WriteCallback implements IoCallback {

		@Override
		public void onComplete(HttpServerExchange completedExchange, Sender sender) {
			StreamWriter.this.writing = false;
			sendPending();
			StreamWriter.this.onWritten.run();
		}

		@Override
		public void onException(HttpServerExchange failedExchange, Sender sender, IOException exception) {
			StreamWriter.this.writeFailed = true;
			failedExchange.endExchange();
			StreamWriter.this.onWriteFailed.run();
		}

	}

}
