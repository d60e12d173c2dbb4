package org.skylarkspring.gateway.internal;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

import org.skylarkspring.gateway.policy.NextStep;

/**
 * Table of the calls that are being served, and the ways they end.
 */
final class CallEndings {

	/** When a caller may come back if no server is known to be free sooner. */
	private static final long RETRY_AFTER_MILLIS = 300;

	private static final int UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private final Set<Call> calls = new LinkedHashSet<>();

	private final GatewayContext context;

	private final ConfigurationFeed configuration;

	private Consumer<Call> onEnded = (call) -> {
	};

	private long bodyBytesHeld;

	CallEndings(GatewayContext context, ConfigurationFeed configuration) {
		this.context = context;
		this.configuration = configuration;
	}

	void onEnded(Consumer<Call> listener) {
		this.onEnded = listener;
	}

	Set<Call> calls() {
		return this.calls;
	}

	long bodyBytesHeld() {
		return this.bodyBytesHeld;
	}

	void begun(Call call) {
		this.calls.add(call);
		this.bodyBytesHeld += call.body.length;
		this.context.metrics.active(this.calls.size());
	}

	/**
	 * Ends a call that got no answer.
	 * @param call the call
	 * @param step how it ends
	 * @param reason why, for logs
	 */
	void end(Call call, NextStep step, String reason) {
		switch (step) {
			case REFUSE -> refuse(call, reason);
			case FAIL -> fail(call, BAD_GATEWAY, reason);
			case CUT -> cut(call, reason);
			default -> throw new IllegalArgumentException("no way to end a call: " + step);
		}
	}

	void deadlinePassed(Call call) {
		if (call.finished) {
			return;
		}
		if (call.committed()) {
			cut(call, "deadline passed");
		}
		else {
			fail(call, GATEWAY_TIMEOUT, "deadline passed");
		}
	}

	void callerLeft(Call call) {
		if (!call.finished) {
			this.context.log.routine(this.context.time.nowMillis(), call.id(), "caller left",
					Map.of("route", call.route.name(), "millis", this.context.time.nowMillis() - call.arrivedMillis));
			finish(call, "caller-left");
		}
	}

	private void refuse(Call call, String reason) {
		this.context.log.request(call.id(), "refused",
				Map.of("route", call.route.name(), "reason", reason, "retry-after-millis", RETRY_AFTER_MILLIS, "sends",
						call.sends, "configuration-age-millis", this.configuration.ageMillis()));
		finish(call, "refused");
		HeaderMap headers = new HeaderMap();
		this.context.callers.encodeRetryAfter(headers, RETRY_AFTER_MILLIS);
		call.answer.whole(UNAVAILABLE, headers, new byte[0]);
	}

	private void fail(Call call, int status, String reason) {
		this.context.log.request(call.id(), "failed", Map.of("route", call.route.name(), "status", status, "reason",
				reason, "sends", call.sends, "millis", this.context.time.nowMillis() - call.arrivedMillis));
		finish(call, "failed");
		HeaderMap headers = new HeaderMap();
		headers.put(Headers.CONTENT_LENGTH, 0);
		call.answer.whole(status, headers, new byte[0]);
	}

	private void cut(Call call, String reason) {
		this.context.log.request(call.id(), "cut off",
				Map.of("route", call.route.name(), "reason", reason, "last-event", call.order.lastId().orElse(""),
						"millis", this.context.time.nowMillis() - call.arrivedMillis));
		finish(call, "cut");
		call.answer.abort();
	}

	/**
	 * Removes a call from the table; its answer is up to the caller of this method.
	 * @param call the call
	 * @param outcome how it ended, for metrics
	 */
	void finish(Call call, String outcome) {
		call.finished = true;
		this.calls.remove(call);
		this.bodyBytesHeld -= call.body.length;
		this.context.metrics.active(this.calls.size());
		this.context.metrics.outcome(call.route.name(), outcome);
		call.deadlineTimer.remove();
		call.watch.stop();
		if (call.attempt != null) {
			ServerAttempt attempt = call.attempt;
			attempt.cancel();
			detach(attempt);
		}
		this.onEnded.accept(call);
	}

	/**
	 * Separates an attempt from its call and its server.
	 * @param attempt the attempt
	 */
	void detach(ServerAttempt attempt) {
		if (attempt.entry.attempts.remove(attempt)) {
			attempt.entry.promisedTokens -= attempt.call.promisedTokens;
			attempt.promptRead();
		}
		if (attempt.call.attempt == attempt) {
			attempt.call.attempt = null;
		}
	}

	/**
	 * Writes a line about a decision on an attempt.
	 * @param call the call
	 * @param decision what was decided
	 * @param attempt the attempt
	 * @param reason what decided it
	 */
	void note(Call call, String decision, ServerAttempt attempt, String reason) {
		this.context.metrics.decision(decision);
		this.context.log.request(call.id(), decision,
				Map.of("route", call.route.name(), "server", attempt.entry.listing.id(), "reason", reason, "runs",
						call.runs, "last-event", call.order.lastId().orElse(""), "millis",
						this.context.time.nowMillis() - call.arrivedMillis));
	}

}
