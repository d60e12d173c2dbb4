package org.skylarkspring.bench.standin;

import java.io.IOException;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

import org.skylarkspring.entry.api.EngineMessages;
import org.skylarkspring.entry.http.Json;

/**
 * One generation of an engine stand-in and the connection to which its tokens are sent.
 * If the connection closes, the generation continues until the grace period of
 * {@link EngineStandIn} has passed, so that a client can resume it.
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

	synchronized void attach(HttpServerExchange attachedExchange, int offset) {
		this.exchange = attachedExchange;
		this.sentTokens = offset;
		this.writeInProgress = false;
		this.endMarkerSent = false;
		attachedExchange.getConnection().addCloseListener((connection) -> detach(attachedExchange));
		attachedExchange.getIoThread().execute(() -> sendPending(attachedExchange));
	}

	synchronized void appendToken(boolean last) {
		this.producedTokens++;
		this.generationComplete = last;
		HttpServerExchange attachedExchange = this.exchange;
		if (attachedExchange != null && !this.writeInProgress) {
			attachedExchange.getIoThread().execute(() -> sendPending(attachedExchange));
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

	private synchronized void detach(HttpServerExchange attachedExchange) {
		if (this.exchange == attachedExchange) {
			this.exchange = null;
			this.detachedAtNanos = System.nanoTime();
		}
	}

	private synchronized void sendPending(HttpServerExchange attachedExchange) {
		if (this.exchange != attachedExchange || this.writeInProgress || this.endMarkerSent) {
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
			attachedExchange.getResponseSender()
				.send(events.toString(), last ? new FinalWriteCallback() : new WriteCallback(attachedExchange));
		}
	}

	private static String formatEvent(EngineMessages.TokenEvent token) {
		return "data: " + Json.write(token) + "\n\n";
	}

	private final class WriteCallback implements IoCallback {

		private final HttpServerExchange attachedExchange;

		private WriteCallback(HttpServerExchange attachedExchange) {
			this.attachedExchange = attachedExchange;
		}

		@Override
		public void onComplete(HttpServerExchange completedExchange, Sender sender) {
			synchronized (EngineStream.this) {
				EngineStream.this.writeInProgress = false;
			}
			sendPending(this.attachedExchange);
		}

		@Override
		public void onException(HttpServerExchange failedExchange, Sender sender, IOException exception) {
			detach(this.attachedExchange);
			IoUtils.safeClose(failedExchange.getConnection());
		}

	}

	private final class FinalWriteCallback implements IoCallback {

		@Override
		public void onComplete(HttpServerExchange completedExchange, Sender sender) {
			detach(completedExchange);
			completedExchange.endExchange();
		}

		@Override
		public void onException(HttpServerExchange failedExchange, Sender sender, IOException exception) {
			detach(failedExchange);
			IoUtils.safeClose(failedExchange.getConnection());
		}

	}

}
