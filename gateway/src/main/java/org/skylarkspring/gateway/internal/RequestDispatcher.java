package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.skylarkspring.gateway.http.DeliveryStatus;
import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.model.GenerationResumePoint;
import org.skylarkspring.gateway.policy.AttemptTimeouts;
import org.skylarkspring.gateway.policy.ResponseTimeEstimator;
import org.skylarkspring.gateway.policy.RetryDecision;

/**
 * Dispatches requests to servers and handles the outcome of each attempt: the response is
 * relayed, or the request is retried, resumed on another server or ended.
 */
final class RequestDispatcher {

	private static final int LOWEST_SERVER_ERROR_STATUS = 500;

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final ServerSelector serverSelector;

	private final RetryBudgets retryBudgets;

	private final DataCentreReachabilityTracker reachability;

	private final ActiveRequestRegistry activeRequests;

	private final PromptQuarantine promptQuarantine;

	private final StreamRelay streamRelay;

	private final AttemptSender attemptSender;

	private final Map<String, ResponseTimeEstimator> responseTimesByService = new HashMap<>();

	private GenerationMigrator migrator;

	private Consumer<Runnable> peerLoadRefresher = Runnable::run;

	RequestDispatcher(GatewayContext context, ConfigurationPoller configuration, ServerSelector serverSelector,
			RetryBudgets retryBudgets, DataCentreReachabilityTracker reachability, ActiveRequestRegistry activeRequests,
			PromptQuarantine promptQuarantine) {
		this.context = context;
		this.configuration = configuration;
		this.serverSelector = serverSelector;
		this.retryBudgets = retryBudgets;
		this.reachability = reachability;
		this.activeRequests = activeRequests;
		this.promptQuarantine = promptQuarantine;
		this.streamRelay = new StreamRelay(context, activeRequests, promptQuarantine);
		this.attemptSender = new AttemptSender(context, serverSelector);
	}

	void setMigrator(GenerationMigrator migrator) {
		this.migrator = migrator;
	}

	StreamRelay streamRelay() {
		return this.streamRelay;
	}

	/**
	 * Sets the callbacks that synchronize load with the other instances.
	 * @param refresher runs a task once the load of the other instances has been
	 * refreshed
	 * @param onDispatched called when a generation has been assigned to a server
	 */
	void setPeerLoadCallbacks(Consumer<Runnable> refresher, Runnable onDispatched) {
		this.peerLoadRefresher = refresher;
		this.attemptSender.setDispatchListener(onDispatched);
	}

	/**
	 * Registers a request whose body has been read and dispatches it.
	 * @param request the request
	 */
	void start(ActiveRequest request) {
		this.activeRequests.register(request);
		this.retryBudgets.recordRequest(request.service.name());
		request.responseWriter = new CallerResponseWriter(request.exchange, () -> {
			if (request.attempt != null) {
				request.attempt.resumeReads();
			}
		});
		request.disconnectDetector = CallerDisconnectDetector.start(request.exchange,
				() -> this.activeRequests.onCallerDisconnected(request));
		request.deadlineTimer = this.context.scheduler.schedule(
				AttemptTimeouts.finalResponseMillis(request.deadlineMillis - this.context.scheduler.nowMillis()),
				() -> this.activeRequests.onDeadlineExceeded(request));
		if (request.reservedTokens > 0) {
			this.peerLoadRefresher.accept(() -> dispatchUnlessFinished(request));
		}
		else {
			dispatch(request);
		}
	}

	private void dispatchUnlessFinished(ActiveRequest request) {
		if (!request.finished) {
			dispatch(request);
		}
	}

	/**
	 * Selects a server for a request without a running attempt and sends the request to
	 * it. Only a retryable request is sent to a server that was tried before, and only if
	 * no other one is eligible. Ends the request if its prompt is quarantined or there is
	 * no eligible server.
	 * @param request the request
	 */
	void dispatch(ActiveRequest request) {
		if (this.promptQuarantine.endIfQuarantined(request)) {
			return;
		}
		Optional<ServerEntry> server = this.serverSelector.selectServer(request.service, request.reservedTokens,
				request.triedServers);
		if (server.isEmpty() && request.route.semantics().isRetryable()) {
			server = this.serverSelector.selectServer(request.service, request.reservedTokens, Set.of());
		}
		if (server.isEmpty()) {
			this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(), "no eligible server");
			return;
		}
		send(request, server.get(), Optional.empty());
	}

	/**
	 * Sends a request to a server.
	 * @param request the request
	 * @param entry the server
	 * @param resumePoint point from which the generation resumes, empty for a new one
	 */
	void send(ActiveRequest request, ServerEntry entry, Optional<GenerationResumePoint> resumePoint) {
		ServerAttempt attempt = this.attemptSender.createAttempt(this, request, entry, resumePoint);
		request.attempt = attempt;
		startResponseTimer(attempt);
		this.attemptSender.start(attempt);
	}

	/**
	 * Sends a generation to the server that is about to continue it, while its current
	 * attempt still runs.
	 * @param request the request
	 * @param entry the server
	 * @param resumePoint point from which the generation resumes
	 */
	void sendSuccessor(ActiveRequest request, ServerEntry entry, GenerationResumePoint resumePoint) {
		ServerAttempt attempt = this.attemptSender.createAttempt(this, request, entry, Optional.of(resumePoint));
		request.successor = attempt;
		this.attemptSender.start(attempt);
	}

	private void startResponseTimer(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		if (!request.route.semantics().isRetryable()
				|| request.possibleExecutions + 1 >= request.route.maximumAttempts()) {
			return;
		}
		double usualMillis = request.route.semantics().isStreaming() ? Double.MAX_VALUE
				: responseTimes(request).usualMillis();
		attempt.responseTimer = this.context.scheduler
			.schedule(AttemptTimeouts.responseTimeoutMillis(request.route.targetLatencyMillis(), usualMillis,
					attempt.dispatchHead.remainingMillis()), () -> onResponseTimeout(attempt));
	}

	private ResponseTimeEstimator responseTimes(ActiveRequest request) {
		return this.responseTimesByService.computeIfAbsent(request.service.name(),
				(service) -> new ResponseTimeEstimator());
	}

	/**
	 * Returns whether an attempt may be sent now that its connection is established, and
	 * if so, counts it as a possible execution of the request.
	 * @param attempt the attempt
	 * @return {@code false} if the API key can no longer be verified before the first
	 * execution, or if the attempt does not resume a copied generation and its server is
	 * terminating or its data centre is evacuated
	 */
	boolean maySend(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		this.reachability.recordConnectSuccess(attempt.server.registration.dataCentre());
		boolean firstExecution = request.possibleExecutions == 0;
		if (firstExecution && request.isAuthenticated() && !isKeyValid(request)) {
			return false;
		}
		if (attempt.dispatchHead.resumePoint().isEmpty() && (!attempt.server.acceptsRequests()
				|| this.serverSelector.isEvacuated(attempt.server.registration.dataCentre()))) {
			return false;
		}
		request.possibleExecutions++;
		if (attempt.isSuccessor()) {
			this.migrator.onSuccessorSent(attempt);
		}
		return true;
	}

	private boolean isKeyValid(ActiveRequest request) {
		return this.configuration.isFresh() && this.configuration.routingTable()
			.flatMap((table) -> request.head.apiKey().flatMap(table::findWorkspaceByApiKey))
			.isPresent();
	}

	private void onResponseTimeout(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		boolean awaitingResponse = attempt.activeRequest.attempt == attempt && !request.isCommitted();
		if (awaitingResponse && this.retryBudgets.tryAcquireRetry(request.service.name())) {
			this.activeRequests.cancelAttempt(attempt);
			attempt.server.recordResponseTimeout(this.context.scheduler.nowMillis());
			this.activeRequests.logAttemptDecision(request, "response timeout, retrying on another server", attempt,
					"no complete response within " + (this.context.scheduler.nowMillis() - attempt.startedMillis)
							+ " ms");
			dispatch(request);
		}
	}

	/**
	 * Handles the first event of a server that continues a generation.
	 * @param successor the attempt on that server
	 */
	void onSuccessorEvent(ServerAttempt successor) {
		this.migrator.onSuccessorStarted(successor);
	}

	/**
	 * Handles a complete response that is not a stream.
	 * @param attempt the attempt that received the response
	 */
	void onResponseComplete(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		this.activeRequests.detachAttempt(attempt);
		int status = attempt.response().getResponseCode();
		if (status >= LOWEST_SERVER_ERROR_STATUS) {
			attempt.server.recordServerError(this.context.scheduler.nowMillis());
			if (!request.isCommitted() && tryAcquireRetry(request)) {
				this.activeRequests.logAttemptDecision(request, "server error, repeated elsewhere", attempt,
						String.valueOf(status));
				dispatch(request);
				return;
			}
		}
		else {
			attempt.server.recordSuccess(this.context.scheduler.nowMillis());
			responseTimes(request).record(this.context.scheduler.nowMillis() - attempt.startedMillis);
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
			request.responseWriter.sendComplete(status, attempt.responseHeaders(), attempt.bufferedBody());
		}
	}

	/**
	 * Handles a response that states that the server did not execute the request.
	 * @param attempt the attempt
	 * @param status status code of the response
	 */
	void onNotExecuted(ServerAttempt attempt, int status) {
		ActiveRequest request = attempt.activeRequest;
		boolean successor = attempt.isSuccessor();
		this.activeRequests.detachAttempt(attempt);
		request.possibleExecutions--;
		this.activeRequests.logAttemptDecision(request, "server refused", attempt, String.valueOf(status));
		if (successor) {
			this.migrator.onSuccessorFailed(attempt);
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
		attempt.server.recordConnectionFailure(this.context.scheduler.nowMillis());
		if (request.finished) {
			return;
		}
		this.activeRequests.logAttemptDecision(request, "attempt failed", attempt, deliveryStatus + ": " + reason);
		if (attempt.isLostAtStart()) {
			this.promptQuarantine.reportCrash(attempt);
		}
		if (request.finished) {
			return;
		}
		boolean notSent = deliveryStatus == DeliveryStatus.NOT_SENT;
		if (notSent && reason.equals(HttpClientCall.CONNECT_TIMEOUT_REASON)) {
			this.reachability.recordConnectTimeout(attempt.server.registration.dataCentre(),
					this.context.scheduler.nowMillis());
		}
		if (successor) {
			this.migrator.onSuccessorFailed(attempt);
			return;
		}
		if (this.migrator.takeOverFailedSource(attempt)) {
			return;
		}
		if (request.possibleExecutions == 0 && request.isAuthenticated() && !isKeyValid(request)) {
			this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(),
					"API key invalid or not verifiable with a stale configuration");
		}
		else if (attempt.isLostAtStart() && this.promptQuarantine.isSuspect(request)) {
			this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(), reason);
		}
		else {
			retryOrEnd(request, reason, () -> notSent || this.retryBudgets.tryAcquireRetry(request.service.name()));
		}
	}

	private void retryOrEnd(ActiveRequest request, String reason, BooleanSupplier budget) {
		RetryDecision decision = request.toRetryContext().decide(budget);
		if (decision == RetryDecision.RETRY) {
			dispatch(request);
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
