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
import org.skylarkspring.entry.http.HttpClientExchange;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.Json;
import org.skylarkspring.entry.http.SseParser;

/**
 * A completion request of a caller. Relays the tokens of a single generation from the
 * engine to the caller, each exactly once and in order.
 */
final class CompletionExchange implements CallerRequest {

	/** Minimum interval between two progress events posted to the core. */
	private static final long PROGRESS_INTERVAL_NANOS = 100_000_000;

	private static final int STATUS_OK = 200;

	private static final List<Integer> STATUSES_NOT_RUN = List.of(429, 503);

	private final EntryContext context;

	private final HttpServerExchange exchange;

	private final long requestId;

	private final String completionId;

	private final RequestSpec spec;

	private final WorkspaceConfiguration workspace;

	private final CompletionRequest completionRequest;

	private final TokenSequencer tokenSequencer = new TokenSequencer();

	private final StreamWriter responseWriter;

	private final StringBuilder bufferedText = new StringBuilder();

	private final long arrivedNanos = System.nanoTime();

	private HttpClientExchange backendExchange;

	private long attemptId;

	private String generationId;

	private long lastTokenNanos;

	private long lastProgressNanos;

	private boolean readsSuspended;

	private boolean finished;

	CompletionExchange(EntryContext context, HttpServerExchange exchange, long requestId, RequestSpec spec,
			WorkspaceConfiguration workspace, CompletionRequest completionRequest) {
		this.context = context;
		this.exchange = exchange;
		this.requestId = requestId;
		this.completionId = context.settings().instanceId() + "-" + requestId;
		this.spec = spec;
		this.workspace = workspace;
		this.completionRequest = completionRequest;
		this.responseWriter = new StreamWriter(exchange, this::resumeBackendReads, this::reportDisconnect);
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
		cancelBackendExchange();
		if (!this.spec.streamed() && action.resumeOffset() == 0) {
			this.tokenSequencer.reset();
			this.bufferedText.setLength(0);
		}
		this.attemptId = action.attemptId();
		if (!this.tokenSequencer.beginAttempt(action.attemptId(), action.resumeOffset())) {
			reportProgress();
			endAttempt(new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			return;
		}
		this.backendExchange = new HttpClientExchange(this.context.connectionPool(), ioThread(),
				createBackendRequest(action).onNewConnection(), new BackendResponseListener(action.attemptId()));
		this.backendExchange.start();
	}

	@Override
	public void cancelAttempt(long cancelledAttemptId) {
		if (cancelledAttemptId == this.attemptId) {
			cancelBackendExchange();
		}
	}

	@Override
	public void onDisconnect() {
		if (!this.finished) {
			this.finished = true;
			cancelBackendExchange();
			this.context.requestRegistry().remove(this.requestId);
			reportDisconnect();
		}
	}

	@Override
	public void finish(Outcome outcome) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		cancelBackendExchange();
		this.context.requestRegistry().remove(this.requestId);
		if (outcome instanceof Outcome.Failed failed) {
			this.context.metrics().recordFinishedRequest(this.workspace.name(), failed.errorCode().wireName());
			sendError(failed);
			return;
		}
		this.context.metrics().recordFinishedRequest(this.workspace.name(), "completed");
		sendCompletion();
	}

	private void sendCompletion() {
		if (this.spec.streamed()) {
			startEventStream();
			this.responseWriter.write("data: [DONE]\n\n");
			this.responseWriter.close();
			return;
		}
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		this.responseWriter.write(Json.write(CompletionResponse.complete(this.completionId,
				this.completionRequest.model(), this.bufferedText.toString(), this.tokenSequencer.deliveredTokens())));
		this.responseWriter.close();
	}

	private void sendError(Outcome.Failed failed) {
		ProblemDetails problem = ProblemDetails.of(failed);
		if (this.exchange.isResponseStarted()) {
			this.responseWriter.write("event: error\ndata: " + Json.write(problem) + "\n\n");
			this.responseWriter.close();
			return;
		}
		problem.send(this.exchange);
	}

	private HttpClientRequest createBackendRequest(Action.Dispatch action) {
		if (action.resumeOffset() > 0) {
			return HttpClientRequest.get(action.address(),
					"/v1/generations/" + this.generationId + "?offset=" + action.resumeOffset());
		}
		EngineMessages.GenerateRequest generateRequest = new EngineMessages.GenerateRequest(
				this.completionRequest.prompt(), this.spec.maximumOutputTokens(), action.enginePriority(),
				this.spec.prefixHash(), this.spec.prefixTokens());
		return HttpClientRequest.post(action.address(), "/v1/completions", Json.write(generateRequest))
			.withHeader("X-Request-Id", this.completionId + "-" + action.attemptId());
	}

	private void handleToken(EngineMessages.TokenEvent token) {
		TokenSequencer.Decision decision = this.tokenSequencer.accept(this.attemptId, token.generation(),
				token.offset());
		if (decision == TokenSequencer.Decision.GAP) {
			this.context.metrics().recordDroppedToken("gap");
			cancelBackendExchange();
			endAttempt(new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, true));
			return;
		}
		if (decision != TokenSequencer.Decision.DELIVER) {
			this.context.metrics().recordDroppedToken(decision.name().toLowerCase(Locale.ROOT));
			return;
		}
		this.generationId = token.generation();
		recordTokenLatency();
		deliverToken(token);
		long now = System.nanoTime();
		if (token.offset() == 0 || now - this.lastProgressNanos >= PROGRESS_INTERVAL_NANOS) {
			this.lastProgressNanos = now;
			reportProgress();
		}
	}

	private void deliverToken(EngineMessages.TokenEvent token) {
		if (!this.spec.streamed()) {
			this.bufferedText.append(token.text());
			return;
		}
		startEventStream();
		this.responseWriter.write("id: " + this.completionId + ":" + token.offset() + "\ndata: "
				+ Json
					.write(CompletionResponse.partial(this.completionId, this.completionRequest.model(), token.text()))
				+ "\n\n");
		if (this.responseWriter.isAboveHighWaterMark() && this.backendExchange != null) {
			this.readsSuspended = true;
			this.backendExchange.suspendReads();
		}
	}

	private void recordTokenLatency() {
		long now = System.nanoTime();
		if (this.lastTokenNanos == 0) {
			this.context.metrics().recordTimeToFirstToken(this.workspace, now - this.arrivedNanos);
		}
		else {
			this.context.metrics().recordInterTokenLatency(this.workspace, now - this.lastTokenNanos);
		}
		this.lastTokenNanos = now;
	}

	private void startEventStream() {
		if (!this.exchange.isResponseStarted()) {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
			this.exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
		}
	}

	private void reportProgress() {
		this.context.coreLoop().post(new Event.TokensReceived(this.attemptId, this.tokenSequencer.deliveredTokens()));
	}

	private void endAttempt(AttemptResult result) {
		this.backendExchange = null;
		this.context.requestRegistry().removeAttempt(this.attemptId);
		this.context.coreLoop().post(new Event.AttemptEnded(this.attemptId, result));
	}

	private void resumeBackendReads() {
		if (this.readsSuspended && !this.responseWriter.isAboveHighWaterMark()) {
			this.readsSuspended = false;
			Optional.ofNullable(this.backendExchange).ifPresent(HttpClientExchange::resumeReads);
		}
	}

	private void reportDisconnect() {
		this.context.coreLoop().post(new Event.CallerDisconnected(this.requestId));
	}

	private void cancelBackendExchange() {
		if (this.backendExchange != null) {
			this.backendExchange.cancel();
			this.backendExchange = null;
			this.context.requestRegistry().removeAttempt(this.attemptId);
		}
	}

	/**
	 * Processes the engine's response to one attempt.
	 */
	private final class BackendResponseListener implements HttpClientExchange.Listener {

		private final long attemptId;

		private final SseParser parser = new SseParser(this::onEvent);

		private int status;

		private BackendResponseListener(long attemptId) {
			this.attemptId = attemptId;
		}

		@Override
		public void onResponseHeaders(int responseStatus, String contentType) {
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
			if (isCurrent()) {
				boolean notRun = STATUSES_NOT_RUN.contains(this.status);
				failAttempt(notRun ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN, this.status == STATUS_OK);
			}
		}

		@Override
		public void onFailure(Verdict verdict, String message) {
			if (isCurrent()) {
				failAttempt(verdict, CompletionExchange.this.generationId != null);
			}
		}

		private void failAttempt(Verdict verdict, boolean resumable) {
			reportProgress();
			endAttempt(new AttemptResult.Failed(verdict, resumable));
		}

		private void onEvent(String data) {
			Optional<EngineMessages.TokenEvent> token = Json.read(data, EngineMessages.TokenEvent.class);
			if (!isCurrent() || token.isEmpty() || token.get().generation() == null) {
				CompletionExchange.this.context.metrics().recordDroppedToken("stray");
				return;
			}
			if (!token.get().done()) {
				handleToken(token.get());
				return;
			}
			int delivered = CompletionExchange.this.tokenSequencer.deliveredTokens();
			boolean complete = token.get().offset() == delivered;
			endAttempt(complete ? new AttemptResult.Generated(delivered)
					: new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, true));
		}

		private boolean isCurrent() {
			return this.attemptId == CompletionExchange.this.attemptId
					&& CompletionExchange.this.backendExchange != null;
		}

	}

}
