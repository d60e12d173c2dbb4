package org.skylarkspring.entry.internal;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.XnioIoThread;

import org.skylarkspring.core.TokenSequencer;
import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.WorkspaceConfiguration;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.api.EngineMessages;
import org.skylarkspring.entry.http.HttpCall;
import org.skylarkspring.entry.http.HttpExchange;
import org.skylarkspring.entry.http.Json;
import org.skylarkspring.entry.http.SseParser;

/**
 * One caller's completion: relays tokens from the engine to the caller, each once and in
 * order, from a single generation.
 */
final class CompletionExchange implements CallerRequest {

	/** Time between two progress events to the core. */
	private static final long PROGRESS_NANOS = 100_000_000;

	private static final int STATUS_OK = 200;

	private static final List<Integer> STATUS_NOT_RUN = List.of(429, 503);

	private final EntryServices services;

	private final HttpServerExchange exchange;

	private final long requestId;

	private final String answerId;

	private final RequestSpec spec;

	private final WorkspaceConfiguration workspace;

	private final CompletionRequest body;

	private final TokenSequencer sequence = new TokenSequencer();

	private final StreamWriter writer;

	private final StringBuilder wholeText = new StringBuilder();

	private final long arrivedNanos = System.nanoTime();

	private HttpExchange call;

	private long attemptId;

	private String generation;

	private long lastTokenNanos;

	private long lastProgressNanos;

	private boolean paused;

	private boolean finished;

	CompletionExchange(EntryServices services, HttpServerExchange exchange, long requestId, RequestSpec spec,
			WorkspaceConfiguration workspace, CompletionRequest body) {
		this.services = services;
		this.exchange = exchange;
		this.requestId = requestId;
		this.answerId = services.settings().instanceId() + "-" + requestId;
		this.spec = spec;
		this.workspace = workspace;
		this.body = body;
		this.writer = new StreamWriter(exchange, this::drained, this::callerLost);
	}

	@Override
	public XnioIoThread ioThread() {
		return this.exchange.getIoThread();
	}

	@Override
	public void dispatch(Action.Dispatch action) {
		if (this.finished) {
			return;
		}
		stopCall();
		if (!this.spec.streamed() && action.resumeOffset() == 0) {
			this.sequence.reset();
			this.wholeText.setLength(0);
		}
		this.attemptId = action.attemptId();
		if (!this.sequence.beginAttempt(action.attemptId(), action.resumeOffset())) {
			progress();
			end(new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			return;
		}
		this.call = new HttpExchange(this.services.connections(), ioThread(), call(action),
				new Attempt(action.attemptId()));
		this.call.start();
	}

	@Override
	public void cancel(long cancelledAttemptId) {
		if (cancelledAttemptId == this.attemptId) {
			stopCall();
		}
	}

	@Override
	public void disconnected() {
		if (!this.finished) {
			this.finished = true;
			stopCall();
			this.services.registry().remove(this.requestId);
			callerLost();
		}
	}

	@Override
	public void finish(Outcome outcome) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		stopCall();
		this.services.registry().remove(this.requestId);
		if (outcome instanceof Outcome.Failed refused) {
			this.services.metrics().finished(this.workspace.name(), refused.errorCode().wireName());
			refuse(refused);
			return;
		}
		this.services.metrics().finished(this.workspace.name(), "completed");
		complete();
	}

	private void complete() {
		if (this.spec.streamed()) {
			startStream();
			this.writer.write("data: [DONE]\n\n");
			this.writer.close();
			return;
		}
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		this.writer.write(Json.write(CompletionChunk.whole(this.answerId, this.body.model(), this.wholeText.toString(),
				this.sequence.deliveredTokens())));
		this.writer.close();
	}

	private void refuse(Outcome.Failed refused) {
		Problem problem = Problem.of(refused);
		if (this.exchange.isResponseStarted()) {
			this.writer.write("event: error\ndata: " + Json.write(problem) + "\n\n");
			this.writer.close();
			return;
		}
		problem.send(this.exchange);
	}

	private HttpCall call(Action.Dispatch action) {
		if (action.resumeOffset() > 0) {
			return HttpCall.get(action.address(),
					"/v1/generations/" + this.generation + "?offset=" + action.resumeOffset());
		}
		EngineMessages.Generate generate = new EngineMessages.Generate(this.body.prompt(),
				this.spec.maximumOutputTokens(), action.enginePriority(), this.spec.prefixHash(),
				this.spec.prefixTokens());
		return HttpCall.post(action.address(), "/v1/completions", Json.write(generate))
			.header("X-Request-Id", this.answerId + "-" + action.attemptId());
	}

	private void token(EngineMessages.Token token) {
		TokenSequencer.Decision admission = this.sequence.accept(this.attemptId, token.generation(), token.offset());
		if (admission == TokenSequencer.Decision.GAP) {
			this.services.metrics().tokenDropped("gap");
			stopCall();
			end(new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, true));
			return;
		}
		if (admission != TokenSequencer.Decision.DELIVER) {
			this.services.metrics().tokenDropped(admission.name().toLowerCase(Locale.ROOT));
			return;
		}
		this.generation = token.generation();
		measure();
		deliver(token);
		long now = System.nanoTime();
		if (token.offset() == 0 || now - this.lastProgressNanos >= PROGRESS_NANOS) {
			this.lastProgressNanos = now;
			progress();
		}
	}

	private void deliver(EngineMessages.Token token) {
		if (!this.spec.streamed()) {
			this.wholeText.append(token.text());
			return;
		}
		startStream();
		this.writer.write("id: " + this.answerId + ":" + token.offset() + "\ndata: "
				+ Json.write(CompletionChunk.piece(this.answerId, this.body.model(), token.text())) + "\n\n");
		if (this.writer.full() && this.call != null) {
			this.paused = true;
			this.call.suspendReads();
		}
	}

	private void measure() {
		long now = System.nanoTime();
		if (this.lastTokenNanos == 0) {
			this.services.metrics().firstToken(this.workspace, now - this.arrivedNanos);
		}
		else {
			this.services.metrics().betweenTokens(this.workspace, now - this.lastTokenNanos);
		}
		this.lastTokenNanos = now;
	}

	private void startStream() {
		if (!this.exchange.isResponseStarted()) {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
			this.exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
		}
	}

	private void progress() {
		this.services.loop().post(new Event.TokensReceived(this.attemptId, this.sequence.deliveredTokens()));
	}

	private void end(AttemptResult result) {
		this.call = null;
		this.services.registry().attemptEnded(this.attemptId);
		this.services.loop().post(new Event.AttemptEnded(this.attemptId, result));
	}

	private void drained() {
		if (this.paused && !this.writer.full()) {
			this.paused = false;
			Optional.ofNullable(this.call).ifPresent(HttpExchange::resumeReads);
		}
	}

	private void callerLost() {
		this.services.loop().post(new Event.CallerDisconnected(this.requestId));
	}

	private void stopCall() {
		if (this.call != null) {
			this.call.cancel();
			this.call = null;
			this.services.registry().attemptEnded(this.attemptId);
		}
	}

	/**
	 * Reads the engine's response of one attempt.
	 */
	private final class Attempt implements HttpExchange.Listener {

		private final long id;

		private final SseParser parser = new SseParser(this::onEvent);

		private int status;

		private Attempt(long id) {
			this.id = id;
		}

		@Override
		public void onResponse(int responseStatus, String contentType) {
			this.status = responseStatus;
		}

		@Override
		public void onChunk(ByteBuffer chunk) {
			if (this.status == STATUS_OK) {
				this.parser.feed(chunk);
			}
		}

		@Override
		public void onComplete() {
			if (current()) {
				boolean notRun = STATUS_NOT_RUN.contains(this.status);
				fail(notRun ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN, this.status == STATUS_OK);
			}
		}

		@Override
		public void onFailure(Verdict verdict, String message) {
			if (current()) {
				fail(verdict, CompletionExchange.this.generation != null);
			}
		}

		private void fail(Verdict verdict, boolean resumable) {
			progress();
			end(new AttemptResult.Failed(verdict, resumable));
		}

		private void onEvent(String data) {
			Optional<EngineMessages.Token> token = Json.read(data, EngineMessages.Token.class);
			if (!current() || token.isEmpty() || token.get().generation() == null) {
				CompletionExchange.this.services.metrics().tokenDropped("stray");
				return;
			}
			if (!token.get().done()) {
				token(token.get());
				return;
			}
			int delivered = CompletionExchange.this.sequence.deliveredTokens();
			boolean whole = token.get().offset() == delivered;
			end(whole ? new AttemptResult.Generated(delivered) : new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, true));
		}

		private boolean current() {
			return this.id == CompletionExchange.this.attemptId && CompletionExchange.this.call != null;
		}

	}

}
