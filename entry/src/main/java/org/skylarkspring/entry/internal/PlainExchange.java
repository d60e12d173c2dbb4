package org.skylarkspring.entry.internal;

import java.util.Map;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.XnioIoThread;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RecordedResponse;
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.http.HttpClientExchange;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.HttpClientResponse;
import org.skylarkspring.entry.http.ResponseCollector;

/**
 * A caller's request to a plain service.
 */
final class PlainExchange implements CallerRequest {

	private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

	private static final int MAXIMUM_RECORDED_RESPONSE_CHARACTERS = 64 * 1024;

	private final EntryContext context;

	private final HttpServerExchange exchange;

	private final long requestId;

	private final RequestSpec spec;

	private final String path;

	private final String body;

	private HttpClientExchange backendExchange;

	private long attemptId;

	private HttpClientResponse backendResponse;

	private boolean finished;

	PlainExchange(EntryContext context, HttpServerExchange exchange, long requestId, RequestSpec spec, String path,
			String body) {
		this.context = context;
		this.exchange = exchange;
		this.requestId = requestId;
		this.spec = spec;
		this.path = path;
		this.body = body;
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
		this.attemptId = action.attemptId();
		long dispatchedAttemptId = action.attemptId();
		ResponseCollector collector = new ResponseCollector(MAXIMUM_RESPONSE_BYTES,
				(response) -> handleResponse(dispatchedAttemptId, response),
				(verdict, message) -> handleFailure(dispatchedAttemptId, verdict));
		this.backendExchange = new HttpClientExchange(this.context.connectionPool(), ioThread(),
				createBackendRequest(action), collector);
		this.backendExchange.start();
	}

	@Override
	public void cancelAttempt(long cancelledAttemptId) {
		if (cancelledAttemptId == this.attemptId && this.backendExchange != null) {
			this.backendExchange.cancel();
			this.backendExchange = null;
			this.context.requestRegistry().removeAttempt(cancelledAttemptId);
		}
	}

	/**
	 * Cancels the request if it is idempotent. A request that must not be repeated
	 * continues, so that its response is recorded.
	 */
	@Override
	public void onDisconnect() {
		if (this.finished) {
			return;
		}
		if (this.spec.idempotent()) {
			this.finished = true;
			cancelAttempt(this.attemptId);
			this.context.requestRegistry().remove(this.requestId);
		}
		this.context.coreLoop().post(new Event.CallerDisconnected(this.requestId));
	}

	@Override
	public void finish(Outcome outcome) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.context.requestRegistry().remove(this.requestId);
		if (outcome instanceof Outcome.Failed failed) {
			this.context.metrics().recordFinishedRequest(this.spec.workspace(), failed.errorCode().wireName());
			ProblemDetails.of(failed).send(this.exchange);
		}
		else if (outcome instanceof Outcome.Replayed replayed) {
			this.context.metrics().recordFinishedRequest(this.spec.workspace(), "replayed");
			sendRecordedResponse(replayed.response());
		}
		else {
			this.context.metrics().recordFinishedRequest(this.spec.workspace(), "completed");
			sendResponse(this.backendResponse.status(), this.backendResponse.contentType(),
					this.backendResponse.body());
		}
	}

	private void sendRecordedResponse(RecordedResponse recordedResponse) {
		if (recordedResponse.truncated()) {
			ProblemDetails.of(new Outcome.Failed(ErrorCode.ANSWER_NOT_KEPT, Verdict.RAN, 0, 0)).send(this.exchange);
			return;
		}
		this.exchange.getResponseHeaders().put(new HttpString("Idempotency-Replayed"), "true");
		sendResponse(recordedResponse.status(), recordedResponse.contentType(), recordedResponse.body());
	}

	private void sendResponse(int status, String contentType, String responseBody) {
		this.exchange.setStatusCode(status);
		if (!contentType.isEmpty()) {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
		}
		this.exchange.getResponseSender().send(responseBody);
	}

	private HttpClientRequest createBackendRequest(Action.Dispatch action) {
		Optional<String> requestBody = this.body.isEmpty() ? Optional.empty() : Optional.of(this.body);
		Map<String, String> headers = Map.of("Content-Type",
				Optional.ofNullable(this.exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE))
					.orElse("application/octet-stream"),
				"X-Request-Id", this.context.settings().instanceId() + "-" + this.requestId + "-" + this.attemptId);
		HttpClientRequest request = new HttpClientRequest(action.address(), this.exchange.getRequestMethod(), this.path,
				headers, requestBody, false);
		return this.spec.idempotencyKey().map((key) -> request.withHeader("Idempotency-Key", key)).orElse(request);
	}

	private void handleResponse(long endedAttemptId, HttpClientResponse response) {
		this.backendExchange = null;
		this.backendResponse = response;
		this.context.requestRegistry().removeAttempt(endedAttemptId);
		boolean truncated = response.body().length() > MAXIMUM_RECORDED_RESPONSE_CHARACTERS;
		RecordedResponse recordedResponse = new RecordedResponse(response.status(), response.contentType(),
				truncated ? "" : response.body(), truncated);
		this.context.coreLoop()
			.post(new Event.AttemptEnded(endedAttemptId, new AttemptResult.Responded(recordedResponse)));
	}

	private void handleFailure(long endedAttemptId, Verdict verdict) {
		this.backendExchange = null;
		this.context.requestRegistry().removeAttempt(endedAttemptId);
		this.context.coreLoop().post(new Event.AttemptEnded(endedAttemptId, new AttemptResult.Failed(verdict, false)));
	}

}
