package org.skylarkspring.entry.internal;

import java.io.IOException;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;

/**
 * Writes a response piece by piece without blocking. Pieces that arrive while a write is
 * under way are sent together by the next one. Used on the exchange's I/O thread only.
 */
final class StreamWriter {

	/** Pending characters above which the source should pause. */
	private static final int HIGH_WATER_CHARACTERS = 64 * 1024;

	private final HttpServerExchange exchange;

	private final Runnable drained;

	private final Runnable failed;

	private final StringBuilder pending = new StringBuilder();

	private boolean writing;

	private boolean closing;

	private boolean broken;

	StreamWriter(HttpServerExchange exchange, Runnable drained, Runnable failed) {
		this.exchange = exchange;
		this.drained = drained;
		this.failed = failed;
	}

	void write(String text) {
		if (!this.broken && !this.closing) {
			this.pending.append(text);
			sendPending();
		}
	}

	void close() {
		this.closing = true;
		sendPending();
	}

	boolean full() {
		return this.pending.length() > HIGH_WATER_CHARACTERS;
	}

	private void sendPending() {
		if (this.writing || this.broken) {
			return;
		}
		if (this.pending.isEmpty()) {
			if (this.closing) {
				this.exchange.endExchange();
			}
			return;
		}
		String piece = this.pending.toString();
		this.pending.setLength(0);
		this.writing = true;
		this.exchange.getResponseSender().send(piece, new Written());
	}

	private final class Written implements IoCallback {

		@Override
		public void onComplete(HttpServerExchange completed, Sender sender) {
			StreamWriter.this.writing = false;
			sendPending();
			StreamWriter.this.drained.run();
		}

		@Override
		public void onException(HttpServerExchange broken, Sender sender, IOException exception) {
			StreamWriter.this.broken = true;
			broken.endExchange();
			StreamWriter.this.failed.run();
		}

	}

}
