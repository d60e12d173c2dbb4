package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.skylarkspring.gateway.http.DeliveryStatus;
import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.placement.DataCentreReachabilityTracker;
import org.skylarkspring.gateway.policy.RetryDecision;
import org.skylarkspring.gateway.policy.ServiceResponseTimes;

/**
 * Handles the outcome of each attempt: the response is passed on, or the request is
 * retried, resumed on another server or ended.
 */
final class AttemptOutcomeHandler {

	private static final int LOWEST_SERVER_ERROR_STATUS = 500;

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final RetryBudgets retryBudgets;

	private final DataCentreReachabilityTracker reachability;

	private final ActiveRequestRegistry activeRequests;

	private final CrashQuarantine crashQuarantine;

	private final ServiceResponseTimes responseTimes;

	/** Selects another server for a request and sends the request to it. */
	private final Consumer<ActiveRequest> dispatcher;

	/** Sends a request again to the server of an attempt, on a new connection. */
	private final Consumer<ServerAttempt> resender;

	private Consumer<ServerEntry> leavingListener = (server) -> {
	};

	private GenerationMigrator migrator;

	AttemptOutcomeHandler(GatewayContext context, ConfigurationPoller configuration, RetryBudgets retryBudgets,
			DataCentreReachabilityTracker reachability, ActiveRequestRegistry activeRequests,
			CrashQuarantine crashQuarantine, ServiceResponseTimes responseTimes, Consumer<ActiveRequest> dispatcher,
			Consumer<ServerAttempt> resender) {
		this.context = context;
		this.configuration = configuration;
		this.retryBudgets = retryBudgets;
		this.reachability = reachability;
		this.activeRequests = activeRequests;
		this.crashQuarantine = crashQuarantine;
		this.responseTimes = responseTimes;
		this.dispatcher = dispatcher;
		this.resender = resender;
	}

	/**
	 * Sets the listener that is told of servers that are about to terminate.
	 * @param listener the listener
	 */
	void setLeavingListener(Consumer<ServerEntry> listener) {
		this.leavingListener = listener;
	}

	void setMigrator(GenerationMigrator migrator) {
		this.migrator = migrator;
	}

	/**
	 * Handles a complete response that is not a stream.
	 * @param attempt the attempt that received the response
	 */
	void onResponseComplete(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		this.activeRequests.detachAttempt(attempt);
		int status = attempt.response().getResponseCode();
		this.activeRequests.attemptListener().onAttemptEnded(attempt, status >= LOWEST_SERVER_ERROR_STATUS);
		if (status >= LOWEST_SERVER_ERROR_STATUS) {
			attempt.server.recordServerError(this.context.scheduler.nowMillis());
			if (!request.isCommitted() && tryAcquireRetry(request)) {
				this.activeRequests.logAttemptDecision(request, "server error, repeated elsewhere", attempt,
						String.valueOf(status));
				this.dispatcher.accept(request);
				return;
			}
		}
		else {
			attempt.server.recordSuccess(this.context.scheduler.nowMillis());
			this.crashQuarantine.recordRequestSuccess(request);
			this.responseTimes.record(request.service.name(),
					this.context.scheduler.nowMillis() - attempt.startedMillis);
		}
		long latencyMillis = this.context.scheduler.nowMillis() - request.arrivedMillis;
		this.context.metrics.recordLatency(request.route.name(), latencyMillis);
		this.context.log.logRoutineRequest(this.context.scheduler.nowMillis(), request.id(), "answered",
				Map.of("server", attempt.server.registration.id(), "route", request.route.name(), "status", status,
						"millis", latencyMillis));
		this.activeRequests.finish(request, (status >= LOWEST_SERVER_ERROR_STATUS) ? "server-error" : "completed");
		if (request.isCommitted()) {
			request.responseWriter.end();
		}
		else {
			request.responseWriter.sendComplete(status, RelayedHeads.responseHeaders(attempt.response()),
					attempt.bufferedBody());
		}
	}

	/**
	 * Handles a response in which the server says that it is about to terminate.
	 * @param server the server
	 */
	void onServerLeaving(ServerEntry server) {
		this.leavingListener.accept(server);
	}

	/**
	 * Handles a response that states that the server did not execute the request.
	 * @param attempt the attempt
	 * @param status status code of the response
	 */
	void onNotExecuted(ServerAttempt attempt, int status) {
		ActiveRequest request = attempt.activeRequest;
		this.activeRequests.detachAttempt(attempt);
		request.possibleExecutions--;
		this.activeRequests.logAttemptDecision(request, "server refused", attempt, String.valueOf(status));
		if (this.migrator.handover().fallback().continueAfterRefusal(attempt)) {
			return;
		}
		if (!this.migrator.endIfResumeRejected(attempt)) {
			retryOrEnd(request, "server refused", () -> this.retryBudgets.tryAcquireRetry(request.service.name()));
		}
	}

	/**
	 * Handles an attempt that failed or was interrupted.
	 * @param attempt the attempt
	 * @param deliveryStatus whether the request may have reached the server
	 * @param reason cause of the failure to log
	 */
	void onAttemptFailed(ServerAttempt attempt, DeliveryStatus deliveryStatus, String reason) {
		ActiveRequest request = attempt.activeRequest;
		boolean successor = attempt.isSuccessor();
		this.activeRequests.detachAttempt(attempt);
		if (attempt.isCutUnread()) {
			this.context.metrics.recordDecision("unread response cut by server");
		}
		else if (!attempt.isWithdrawn()) {
			attempt.server.recordConnectionFailure(this.context.scheduler.nowMillis());
		}
		if (deliveryStatus != DeliveryStatus.NOT_SENT && !attempt.isCutUnread()) {
			this.activeRequests.attemptListener().onAttemptEnded(attempt, true);
		}
		if (request.finished) {
			return;
		}
		this.activeRequests.logAttemptDecision(request, "attempt failed", attempt, deliveryStatus + ": " + reason);
		this.crashQuarantine.recordLoss(attempt);
		boolean endedByQuarantine = request.finished;
		if (endedByQuarantine) {
			return;
		}
		boolean notSent = deliveryStatus == DeliveryStatus.NOT_SENT;
		boolean connectTimedOut = notSent && reason.equals(HttpClientCall.CONNECT_TIMEOUT_REASON);
		if (connectTimedOut) {
			this.reachability.recordConnectTimeout(attempt.server.registration.dataCentre(),
					this.context.scheduler.nowMillis());
		}
		boolean secondConnection = (connectTimedOut || attempt.isClosedBeforeSend())
				&& request.allowSecondConnection(attempt.server.registration.id());
		if (successor && this.migrator.onSuccessorLost(attempt)) {
			return;
		}
		if (this.migrator.takeOverFailedSource(attempt)) {
			return;
		}
		if (secondConnection && attempt.isClosedBeforeSend() && attempt.dispatchHead.resumePoint().isPresent()) {
			this.resender.accept(attempt);
			return;
		}
		if (notSent && this.migrator.handover().fallback().continueAfterRefusal(attempt)) {
			return;
		}
		if (request.possibleExecutions == 0 && request.isAuthenticated()
				&& !this.configuration.hasValidKey(request.head)) {
			this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(),
					"API key invalid or not verifiable with a stale configuration");
		}
		else if (this.crashQuarantine.isSuspect(attempt)) {
			this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(), reason);
		}
		else {
			retryOrEnd(request, reason, () -> notSent || this.retryBudgets.tryAcquireRetry(request.service.name()));
			this.migrator.stopAbandoned(attempt);
		}
	}

	private void retryOrEnd(ActiveRequest request, String reason, BooleanSupplier budget) {
		RetryDecision decision = request.toRetryContext().decide(budget);
		if (decision == RetryDecision.RETRY) {
			this.dispatcher.accept(request);
		}
		else {
			this.activeRequests.end(request, decision, reason);
		}
	}

	private boolean tryAcquireRetry(ActiveRequest request) {
		return request.toRetryContext()
			.decide(() -> this.retryBudgets.tryAcquireRetry(request.service.name())) == RetryDecision.RETRY;
	}

}
