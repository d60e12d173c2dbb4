package org.skylarkspring.bench.standin;

import java.io.IOException;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

import org.skylarkspring.entry.api.EngineMessages;
import org.skylarkspring.entry.http.Json;

/**
 * One generation of an engine stand-in and the connection that reads it. The generation
 * goes on for a while without a connection, so that it can be resumed.
 */
final class EngineStream {

	private final String generation;

	private final String prompt;

	private HttpServerExchange exchange;

	private int producedTokens;

	private int sentTokens;

	private boolean generationComplete;

	private boolean writeInProgress;

	private boolean endMarkerSent;

	private long detachedAtNanos = System.nanoTime();

	EngineStream(String generation, String prompt) {
		this.generation = generation;
		this.prompt = prompt;
	}

	String generation() {
		return this.generation;
	}

	synchronized void attach(HttpServerExchange reader, int offset) {
		this.exchange = reader;
		this.sentTokens = offset;
		this.writeInProgress = false;
		this.endMarkerSent = false;
		reader.getConnection().addCloseListener((closed) -> detach(reader));
		reader.getIoThread().execute(() -> sendPending(reader));
	}

	synchronized void appendToken(boolean last) {
		this.producedTokens++;
		this.generationComplete = last;
		HttpServerExchange reader = this.exchange;
		if (reader != null && !this.writeInProgress) {
			reader.getIoThread().execute(() -> sendPending(reader));
		}
	}

	synchronized void disconnect() {
		if (this.exchange != null) {
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

	synchronized long detachedNanos(long nowNanos) {
		return (this.exchange != null) ? 0 : nowNanos - this.detachedAtNanos;
	}

	private synchronized void detach(HttpServerExchange reader) {
		if (this.exchange == reader) {
			this.exchange = null;
			this.detachedAtNanos = System.nanoTime();
		}
	}

	private synchronized void sendPending(HttpServerExchange reader) {
		if (this.exchange != reader || this.writeInProgress || this.endMarkerSent) {
			return;
		}
		StringBuilder events = new StringBuilder();
		while (this.sentTokens < this.producedTokens) {
			events.append(formatEvent(new EngineMessages.TokenEvent(this.generation, this.sentTokens,
					DeterministicCompletion.tokenAt(this.prompt, this.sentTokens), false)));
			this.sentTokens++;
		}
		boolean last = this.generationComplete && this.sentTokens == this.producedTokens;
		if (last) {
			events.append(formatEvent(new EngineMessages.TokenEvent(this.generation, this.sentTokens, null, true)));
			this.endMarkerSent = true;
		}
		if (!events.isEmpty()) {
			this.writeInProgress = true;
			reader.getResponseSender()
				.send(events.toString(), last ? new FinalWriteCallback() : new WriteCallback(reader));
		}
	}

	private static String formatEvent(EngineMessages.TokenEvent token) {
		return "data: " + Json.write(token) + "\n\n";
	}

	private final class WriteCallback implements IoCallback {

		private final HttpServerExchange reader;

		private WriteCallback(HttpServerExchange reader) {
			this.reader = reader;
		}

		@Override
		public void onComplete(HttpServerExchange completed, Sender sender) {
			synchronized (EngineStream.this) {
				EngineStream.this.writeInProgress = false;
			}
			sendPending(this.reader);
		}

		@Override
		public void onException(HttpServerExchange broken, Sender sender, IOException exception) {
			detach(this.reader);
			IoUtils.safeClose(broken.getConnection());
		}

	}

	private final class FinalWriteCallback implements IoCallback {

		@Override
		public void onComplete(HttpServerExchange completed, Sender sender) {
			detach(completed);
			completed.endExchange();
		}

		@Override
		public void onException(HttpServerExchange broken, Sender sender, IOException exception) {
			detach(broken);
			IoUtils.safeClose(broken.getConnection());
		}

	}

}
