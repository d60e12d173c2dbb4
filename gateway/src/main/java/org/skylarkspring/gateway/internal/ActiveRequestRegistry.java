package org.skylarkspring.gateway.internal;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

import org.skylarkspring.gateway.policy.AttemptTimeouts;
import org.skylarkspring.gateway.policy.DeadlineCounts;
import org.skylarkspring.gateway.policy.RetryDecision;
import org.skylarkspring.gateway.pressure.BufferedBytes;
import org.skylarkspring.gateway.pressure.ResponseMemory;

/**
 * Registry of the requests that are being served. Also ends requests that got no complete
 * response from a server.
 */
final class ActiveRequestRegistry {

	/**
	 * Delay after which a rejected caller may retry, as no server is known to be free
	 * sooner.
	 */
	private static final long RETRY_AFTER_MILLIS = 300;

	/**
	 * Maximum total size of request bodies in memory, a quarter of the smallest heap in
	 * use.
	 */
	private static final long MAXIMUM_BUFFERED_BODY_BYTES = 24L * 1024 * 1024;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private final Set<ActiveRequest> requests = new LinkedHashSet<>();

	private final DeadlineCounts deadlines = new DeadlineCounts();

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private Consumer<ActiveRequest> endListener = (request) -> {
	};

	private AttemptListener attemptListener = (attempt, failed) -> {
	};

	private Function<ActiveRequest, OptionalLong> retryAfterSource = (request) -> OptionalLong.empty();

	private Consumer<ServerAttempt> cancelListener = (attempt) -> {
	};

	private final BufferedBytes bodyMemory = new BufferedBytes(MAXIMUM_BUFFERED_BODY_BYTES);

	private final ResponseMemory responseMemory = new ResponseMemory();

	ActiveRequestRegistry(GatewayContext context, ConfigurationPoller configuration) {
		this.context = context;
		this.configuration = configuration;
		context.metrics.observeHeldResponseBytes(this.responseMemory::heldBytes);
	}

	void setEndListener(Consumer<ActiveRequest> listener) {
		this.endListener = listener;
	}

	/**
	 * Sets the source of the time after which the caller of a rejected request may retry.
	 * @param source returns the time in milliseconds, empty for a constant time
	 */
	void setRetryAfterSource(Function<ActiveRequest, OptionalLong> source) {
		this.retryAfterSource = source;
	}

	/**
	 * Sets the listener that is told of attempts that are cancelled before their response
	 * was complete.
	 * @param listener the listener
	 */
	void setCancelListener(Consumer<ServerAttempt> listener) {
		this.cancelListener = listener;
	}

	/**
	 * Sets the listener that is told how attempts end.
	 * @param listener the listener
	 */
	void setAttemptListener(AttemptListener listener) {
		this.attemptListener = listener;
	}

	AttemptListener attemptListener() {
		return this.attemptListener;
	}

	Set<ActiveRequest> requests() {
		return this.requests;
	}

	/**
	 * Returns the memory of the request bodies. The body of a registered request is
	 * released when the request ends.
	 * @return the memory
	 */
	BufferedBytes bodyMemory() {
		return this.bodyMemory;
	}

	ResponseMemory responseMemory() {
		return this.responseMemory;
	}

	void register(ActiveRequest request) {
		this.requests.add(request);
		this.deadlines.add(request.deadlineMillis);
		this.context.metrics.setActiveRequests(this.requests.size());
	}

	/**
	 * Ends a request that got no complete response from a server.
	 * @param request the request
	 * @param decision how the request ends, any decision but {@code RETRY}
	 * @param reason reason to log
	 */
	void end(ActiveRequest request, RetryDecision decision, String reason) {
		end(request, decision, reason, this.retryAfterSource.apply(request).orElse(RETRY_AFTER_MILLIS));
	}

	/**
	 * Ends a request that got no complete response from a server.
	 * @param request the request
	 * @param decision how the request ends, any decision but {@code RETRY}
	 * @param reason reason to log
	 * @param retryAfterMillis time after which the caller may send a rejected request
	 * again, in milliseconds
	 */
	void end(ActiveRequest request, RetryDecision decision, String reason, long retryAfterMillis) {
		switch (decision) {
			case REJECT -> rejectWithRetryAfter(request, reason, retryAfterMillis);
			case FAIL -> failWithStatus(request, BAD_GATEWAY, reason);
			case CLOSE_CONNECTION -> abortResponse(request, reason);
			default -> throw new IllegalArgumentException("not a terminal decision: " + decision);
		}
	}

	/**
	 * Ends all requests. Those that cannot have run are rejected, the others fail.
	 * @param reason reason to log
	 */
	void endAll(String reason) {
		List.copyOf(this.requests).forEach((request) -> endUnlessException(request, reason));
	}

	// An exception must not leave the other callers without a response.
	private void endUnlessException(ActiveRequest request, String reason) {
		try {
			end(request, request.toRetryContext().decideWithoutRetry(), reason);
		}
		catch (RuntimeException ex) {
			this.context.log.logException(request.id(), "exception while ending a request", ex);
		}
	}

	/**
	 * Ends a request whose dispatch has thrown an exception. It is rejected if it cannot
	 * have run.
	 * @param request the request
	 * @param exception the exception
	 */
	void endAfterException(ActiveRequest request, Throwable exception) {
		this.context.log.logException(request.id(), "exception while dispatching a request", exception);
		if (!request.finished) {
			end(request, request.toRetryContext().decideWithoutRetry(), String.valueOf(exception));
		}
		else if (!request.isCommitted()) {
			request.responseWriter.abort();
		}
	}

	/**
	 * Starts the timer that ends a registered request before its deadline.
	 * @param request the request
	 */
	void startDeadlineTimer(ActiveRequest request) {
		int othersDue = this.deadlines.dueTogether(request.deadlineMillis) - 1;
		long remainingMillis = request.deadlineMillis - this.context.scheduler.nowMillis();
		request.deadlineTimer = this.context.scheduler.schedule(
				AttemptTimeouts.finalResponseMillis(remainingMillis, othersDue), () -> onDeadlineExceeded(request));
	}

	/**
	 * Ends a request at its deadline. All callers whose deadlines are due at the same
	 * time get their responses before the connections to the servers are closed.
	 * @param request the request
	 */
	void onDeadlineExceeded(ActiveRequest request) {
		if (request.finished) {
			return;
		}
		if (request.attempt != null && request.attempt.sent) {
			this.attemptListener.onAttemptEnded(request.attempt, true);
		}
		cancelAfterDueTasks(request.successor);
		cancelAfterDueTasks(request.attempt);
		if (request.isCommitted()) {
			abortResponse(request, "deadline exceeded");
		}
		else {
			failWithStatus(request, GATEWAY_TIMEOUT, "deadline exceeded");
		}
	}

	void onCallerDisconnected(ActiveRequest request) {
		if (!request.finished) {
			this.context.log.logRoutineRequest(this.context.scheduler.nowMillis(), request.id(), "caller disconnected",
					Map.of("route", request.route.name(), "millis",
							this.context.scheduler.nowMillis() - request.arrivedMillis));
			finish(request, "caller-left");
		}
	}

	private void rejectWithRetryAfter(ActiveRequest request, String reason, long retryAfterMillis) {
		this.context.log.logRequest(request.id(), "refused",
				Map.of("route", request.route.name(), "reason", reason, "retry-after-millis", retryAfterMillis, "sends",
						request.sendCount, "configuration-age-millis", this.configuration.ageMillis()));
		finish(request, "refused");
		HeaderMap headers = new HeaderMap();
		this.context.callerProtocol.encodeRetryAfter(headers, retryAfterMillis);
		request.responseWriter.sendComplete(SERVICE_UNAVAILABLE, headers, new byte[0]);
	}

	private void failWithStatus(ActiveRequest request, int status, String reason) {
		this.context.log.logRequest(request.id(), "failed",
				Map.of("route", request.route.name(), "status", status, "reason", reason, "sends", request.sendCount,
						"millis", this.context.scheduler.nowMillis() - request.arrivedMillis));
		finish(request, "failed");
		HeaderMap headers = new HeaderMap();
		headers.put(Headers.CONTENT_LENGTH, 0);
		request.responseWriter.sendComplete(status, headers, new byte[0]);
	}

	private void abortResponse(ActiveRequest request, String reason) {
		this.context.log.logRequest(request.id(), "response aborted",
				Map.of("route", request.route.name(), "reason", reason, "last-event",
						request.eventOrder.lastDeliveredId().orElse(""), "millis",
						this.context.scheduler.nowMillis() - request.arrivedMillis));
		finish(request, "cut");
		request.responseWriter.abort();
	}

	/**
	 * Removes a request from the registry, cancels its running attempt, if any, and
	 * records its outcome. The calling method has to complete or abort the response,
	 * unless the caller has disconnected.
	 * @param request the request
	 * @param outcome outcome to record in the metrics
	 */
	void finish(ActiveRequest request, String outcome) {
		request.finished = true;
		this.requests.remove(request);
		this.deadlines.remove(request.deadlineMillis);
		this.bodyMemory.release(request.body.length);
		this.context.metrics.setActiveRequests(this.requests.size());
		this.context.metrics.recordOutcome(request.route.name(), outcome);
		request.deadlineTimer.cancel();
		Optional.ofNullable(request.disconnectDetector).ifPresent(CallerDisconnectDetector::stop);
		cancelAttempt(request.successor);
		cancelAttempt(request.attempt);
		this.endListener.accept(request);
	}

	/**
	 * Cancels an attempt and detaches it.
	 * @param attempt the attempt, {@code null} to do nothing
	 */
	void cancelAttempt(ServerAttempt attempt) {
		if (attempt != null) {
			attempt.cancel();
			detachAttempt(attempt);
			this.cancelListener.accept(attempt);
		}
	}

	private void cancelAfterDueTasks(ServerAttempt attempt) {
		if (attempt != null) {
			attempt.cancelAfterDueTasks();
			detachAttempt(attempt);
			this.context.ioThread.execute(() -> this.cancelListener.accept(attempt));
		}
	}

	/**
	 * Detaches an attempt from its request and its server, and releases the memory
	 * reserved for it.
	 * @param attempt the attempt
	 */
	void detachAttempt(ServerAttempt attempt) {
		if (attempt.server.attempts.remove(attempt)) {
			this.context.outstandingBodies.recordEnded(attempt.server.registration, attempt.activeRequest.body.length,
					this.context.scheduler.nowMillis());
			attempt.markPrefillComplete();
			attempt.releaseReservations();
		}
		if (attempt.activeRequest.attempt == attempt) {
			attempt.activeRequest.attempt = null;
		}
		if (attempt.activeRequest.successor == attempt) {
			attempt.activeRequest.successor = null;
		}
	}

	/**
	 * Logs and counts a decision about an attempt.
	 * @param request the request
	 * @param decision name of the decision
	 * @param attempt the attempt
	 * @param reason reason to log
	 */
	void logAttemptDecision(ActiveRequest request, String decision, ServerAttempt attempt, String reason) {
		this.context.metrics.recordDecision(decision);
		this.context.log.logRequest(request.id(), decision, Map.of("route", request.route.name(), "server",
				attempt.server.registration.id(), "reason", reason, "runs", request.possibleExecutions, "last-event",
				request.eventOrder.lastDeliveredId().orElse(""), "millis",
				this.context.scheduler.nowMillis() - request.arrivedMillis, "head-received", attempt.hasResponse(),
				"events", attempt.relayedEvents, "prompt-parts", String.join(",", request.head.promptPartIds()),
				"request-keys", String.join(",", request.identityKeys())));
	}

}
