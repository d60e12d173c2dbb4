package org.skylarkspring.gateway.internal;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

import org.skylarkspring.gateway.policy.RetryDecision;

/**
 * Table of the calls that are being served, and the ways they end.
 */
final class ActiveRequestRegistry {

	/** When a caller may come back if no server is known to be free sooner. */
	private static final long RETRY_AFTER_MILLIS = 300;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private final Set<ActiveRequest> requests = new LinkedHashSet<>();

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private Consumer<ActiveRequest> endListener = (call) -> {
	};

	private long bufferedBodyBytes;

	ActiveRequestRegistry(GatewayContext context, ConfigurationPoller configuration) {
		this.context = context;
		this.configuration = configuration;
	}

	void setEndListener(Consumer<ActiveRequest> listener) {
		this.endListener = listener;
	}

	Set<ActiveRequest> requests() {
		return this.requests;
	}

	long bufferedBodyBytes() {
		return this.bufferedBodyBytes;
	}

	void register(ActiveRequest call) {
		this.requests.add(call);
		this.bufferedBodyBytes += call.body.length;
		this.context.metrics.setActiveRequests(this.requests.size());
	}

	/**
	 * Ends a call that got no answer.
	 * @param call the call
	 * @param step how it ends
	 * @param reason why, for logs
	 */
	void end(ActiveRequest call, RetryDecision step, String reason) {
		switch (step) {
			case REJECT -> rejectWithRetryAfter(call, reason);
			case FAIL -> failWithStatus(call, BAD_GATEWAY, reason);
			case CLOSE_CONNECTION -> abortResponse(call, reason);
			default -> throw new IllegalArgumentException("no way to end a call: " + step);
		}
	}

	void onDeadlineExceeded(ActiveRequest call) {
		if (call.finished) {
			return;
		}
		if (call.isCommitted()) {
			abortResponse(call, "deadline passed");
		}
		else {
			failWithStatus(call, GATEWAY_TIMEOUT, "deadline passed");
		}
	}

	void onCallerDisconnected(ActiveRequest call) {
		if (!call.finished) {
			this.context.log.logRoutineRequest(this.context.scheduler.nowMillis(), call.id(), "caller left", Map
				.of("route", call.route.name(), "millis", this.context.scheduler.nowMillis() - call.arrivedMillis));
			finish(call, "caller-left");
		}
	}

	private void rejectWithRetryAfter(ActiveRequest call, String reason) {
		this.context.log.logRequest(call.id(), "refused",
				Map.of("route", call.route.name(), "reason", reason, "retry-after-millis", RETRY_AFTER_MILLIS, "sends",
						call.sendCount, "configuration-age-millis", this.configuration.ageMillis()));
		finish(call, "refused");
		HeaderMap headers = new HeaderMap();
		this.context.callerProtocol.encodeRetryAfter(headers, RETRY_AFTER_MILLIS);
		call.responseWriter.sendComplete(SERVICE_UNAVAILABLE, headers, new byte[0]);
	}

	private void failWithStatus(ActiveRequest call, int status, String reason) {
		this.context.log.logRequest(call.id(), "failed", Map.of("route", call.route.name(), "status", status, "reason",
				reason, "sends", call.sendCount, "millis", this.context.scheduler.nowMillis() - call.arrivedMillis));
		finish(call, "failed");
		HeaderMap headers = new HeaderMap();
		headers.put(Headers.CONTENT_LENGTH, 0);
		call.responseWriter.sendComplete(status, headers, new byte[0]);
	}

	private void abortResponse(ActiveRequest call, String reason) {
		this.context.log.logRequest(call.id(), "cut off",
				Map.of("route", call.route.name(), "reason", reason, "last-event",
						call.eventOrder.lastDeliveredId().orElse(""), "millis",
						this.context.scheduler.nowMillis() - call.arrivedMillis));
		finish(call, "cut");
		call.responseWriter.abort();
	}

	/**
	 * Removes a call from the table; its answer is up to the caller of this method.
	 * @param call the call
	 * @param outcome how it ended, for metrics
	 */
	void finish(ActiveRequest call, String outcome) {
		call.finished = true;
		this.requests.remove(call);
		this.bufferedBodyBytes -= call.body.length;
		this.context.metrics.setActiveRequests(this.requests.size());
		this.context.metrics.recordOutcome(call.route.name(), outcome);
		call.deadlineTimer.cancel();
		call.disconnectDetector.stop();
		if (call.attempt != null) {
			ServerAttempt attempt = call.attempt;
			attempt.cancel();
			detachAttempt(attempt);
		}
		this.endListener.accept(call);
	}

	/**
	 * Separates an attempt from its call and its server.
	 * @param attempt the attempt
	 */
	void detachAttempt(ServerAttempt attempt) {
		if (attempt.server.attempts.remove(attempt)) {
			attempt.server.reservedTokens -= attempt.activeRequest.reservedTokens;
			attempt.markPrefillComplete();
		}
		if (attempt.activeRequest.attempt == attempt) {
			attempt.activeRequest.attempt = null;
		}
	}

	/**
	 * Writes a line about a decision on an attempt.
	 * @param call the call
	 * @param decision what was decided
	 * @param attempt the attempt
	 * @param reason what decided it
	 */
	void logAttemptDecision(ActiveRequest call, String decision, ServerAttempt attempt, String reason) {
		this.context.metrics.recordDecision(decision);
		this.context.log.logRequest(call.id(), decision,
				Map.of("route", call.route.name(), "server", attempt.server.registration.id(), "reason", reason, "runs",
						call.possibleExecutions, "last-event", call.eventOrder.lastDeliveredId().orElse(""), "millis",
						this.context.scheduler.nowMillis() - call.arrivedMillis));
	}

}
