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

	private int produced;

	private int sent;

	private boolean complete;

	private boolean writing;

	private boolean ended;

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
		this.sent = offset;
		this.writing = false;
		this.ended = false;
		reader.getConnection().addCloseListener((closed) -> detach(reader));
		reader.getIoThread().execute(() -> sendPending(reader));
	}

	synchronized void produce(boolean last) {
		this.produced++;
		this.complete = last;
		HttpServerExchange reader = this.exchange;
		if (reader != null && !this.writing) {
			reader.getIoThread().execute(() -> sendPending(reader));
		}
	}

	synchronized void cut() {
		if (this.exchange != null) {
			IoUtils.safeClose(this.exchange.getConnection());
		}
	}

	synchronized long detachedFor(long nowNanos) {
		return (this.exchange != null) ? 0 : nowNanos - this.detachedAtNanos;
	}

	private synchronized void detach(HttpServerExchange reader) {
		if (this.exchange == reader) {
			this.exchange = null;
			this.detachedAtNanos = System.nanoTime();
		}
	}

	private synchronized void sendPending(HttpServerExchange reader) {
		if (this.exchange != reader || this.writing || this.ended) {
			return;
		}
		StringBuilder events = new StringBuilder();
		while (this.sent < this.produced) {
			events.append(event(new EngineMessages.TokenEvent(this.generation, this.sent,
					StandInText.token(this.prompt, this.sent), false)));
			this.sent++;
		}
		boolean last = this.complete && this.sent == this.produced;
		if (last) {
			events.append(event(new EngineMessages.TokenEvent(this.generation, this.sent, null, true)));
			this.ended = true;
		}
		if (!events.isEmpty()) {
			this.writing = true;
			reader.getResponseSender().send(events.toString(), last ? new LastWritten() : new Written(reader));
		}
	}

	private static String event(EngineMessages.TokenEvent token) {
		return "data: " + Json.write(token) + "\n\n";
	}

	private final class Written implements IoCallback {

		private final HttpServerExchange reader;

		private Written(HttpServerExchange reader) {
			this.reader = reader;
		}

		@Override
		public void onComplete(HttpServerExchange completed, Sender sender) {
			synchronized (EngineStream.this) {
				EngineStream.this.writing = false;
			}
			sendPending(this.reader);
		}

		@Override
		public void onException(HttpServerExchange broken, Sender sender, IOException exception) {
			detach(this.reader);
			IoUtils.safeClose(broken.getConnection());
		}

	}

	private final class LastWritten implements IoCallback {

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
