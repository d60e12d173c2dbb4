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
import org.skylarkspring.entry.http.BodyCollector;
import org.skylarkspring.entry.http.HttpCall;
import org.skylarkspring.entry.http.HttpExchange;
import org.skylarkspring.entry.http.HttpReply;

/**
 * One caller's call of a plain service.
 */
final class PlainExchange implements CallerRequest {

	private static final int MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;

	private static final int MAXIMUM_RECORDED_CHARACTERS = 64 * 1024;

	private final EntryServices services;

	private final HttpServerExchange exchange;

	private final long requestId;

	private final RequestSpec spec;

	private final String path;

	private final String body;

	private HttpExchange call;

	private long attemptId;

	private HttpReply reply;

	private boolean finished;

	PlainExchange(EntryServices services, HttpServerExchange exchange, long requestId, RequestSpec spec, String path,
			String body) {
		this.services = services;
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
		long id = action.attemptId();
		BodyCollector collector = new BodyCollector(MAXIMUM_ANSWER_BYTES, (whole) -> answered(id, whole),
				(verdict, message) -> failed(id, verdict));
		this.call = new HttpExchange(this.services.connections(), ioThread(), call(action), collector);
		this.call.start();
	}

	@Override
	public void cancel(long cancelledAttemptId) {
		if (cancelledAttemptId == this.attemptId && this.call != null) {
			this.call.cancel();
			this.call = null;
			this.services.registry().attemptEnded(cancelledAttemptId);
		}
	}

	/** A call that must not be repeated goes on, so that its answer is recorded. */
	@Override
	public void disconnected() {
		if (this.finished) {
			return;
		}
		if (this.spec.idempotent()) {
			this.finished = true;
			cancel(this.attemptId);
			this.services.registry().remove(this.requestId);
		}
		this.services.loop().post(new Event.CallerDisconnected(this.requestId));
	}

	@Override
	public void finish(Outcome outcome) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.services.registry().remove(this.requestId);
		if (outcome instanceof Outcome.Failed refused) {
			this.services.metrics().finished(this.spec.workspace(), refused.errorCode().wireName());
			Problem.of(refused).send(this.exchange);
		}
		else if (outcome instanceof Outcome.Replayed replayed) {
			this.services.metrics().finished(this.spec.workspace(), "replayed");
			replay(replayed.response());
		}
		else {
			this.services.metrics().finished(this.spec.workspace(), "completed");
			send(this.reply.status(), this.reply.contentType(), this.reply.body());
		}
	}

	private void replay(RecordedResponse answer) {
		if (answer.truncated()) {
			Problem.of(new Outcome.Failed(ErrorCode.ANSWER_NOT_KEPT, Verdict.RAN, 0, 0)).send(this.exchange);
			return;
		}
		this.exchange.getResponseHeaders().put(new HttpString("Idempotency-Replayed"), "true");
		send(answer.status(), answer.contentType(), answer.body());
	}

	private void send(int status, String contentType, String text) {
		this.exchange.setStatusCode(status);
		if (!contentType.isEmpty()) {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
		}
		this.exchange.getResponseSender().send(text);
	}

	private HttpCall call(Action.Dispatch action) {
		Optional<String> sentBody = this.body.isEmpty() ? Optional.empty() : Optional.of(this.body);
		Map<String, String> headers = Map.of("Content-Type",
				Optional.ofNullable(this.exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE))
					.orElse("application/octet-stream"),
				"X-Request-Id", this.services.settings().instanceId() + "-" + this.requestId + "-" + this.attemptId);
		HttpCall built = new HttpCall(action.address(), this.exchange.getRequestMethod(), this.path, headers, sentBody,
				this.spec.idempotent());
		return this.spec.idempotencyKey().map((key) -> built.header("Idempotency-Key", key)).orElse(built);
	}

	private void answered(long id, HttpReply whole) {
		this.call = null;
		this.reply = whole;
		this.services.registry().attemptEnded(id);
		boolean truncated = whole.body().length() > MAXIMUM_RECORDED_CHARACTERS;
		RecordedResponse answer = new RecordedResponse(whole.status(), whole.contentType(),
				truncated ? "" : whole.body(), truncated);
		this.services.loop().post(new Event.AttemptEnded(id, new AttemptResult.Responded(answer)));
	}

	private void failed(long id, Verdict verdict) {
		this.call = null;
		this.services.registry().attemptEnded(id);
		this.services.loop().post(new Event.AttemptEnded(id, new AttemptResult.Failed(verdict, false)));
	}

}
