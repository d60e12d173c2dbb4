package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.skylarkspring.gateway.http.DeliveryStatus;
import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.model.GenerationResumePoint;
import org.skylarkspring.gateway.policy.RetryDecision;

/**
 * Places calls and judges what became of each attempt: passed on, repeated, continued
 * elsewhere or ended.
 */
final class RequestDispatcher {

	/** Rank of the most urgent route inside an engine, below what is kept free. */
	private static final int HIGHEST_ENGINE_PRIORITY = 4;

	private static final int LOWEST_ENGINE_PRIORITY = 9;

	/**
	 * Silence of a server, in aims of the route, after which a repeatable call is
	 * repeated.
	 */
	private static final int RESPONSE_TIMEOUT_LATENCY_FACTOR = 2;

	private static final int LOWEST_SERVER_ERROR_STATUS = 500;

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final ServerSelector serverSelector;

	private final RetryBudgets retryBudgets;

	private final DataCentreReachabilityTracker reachability;

	private final ActiveRequestRegistry activeRequests;

	private final StreamRelay streamRelay;

	private GenerationMigrator migrator;

	private Consumer<Runnable> peerLoadRefresher = Runnable::run;

	private Runnable onGenerationDispatched = () -> {
	};

	RequestDispatcher(GatewayContext context, ConfigurationPoller configuration, ServerSelector serverSelector,
			RetryBudgets retryBudgets, DataCentreReachabilityTracker reachability,
			ActiveRequestRegistry activeRequests) {
		this.context = context;
		this.configuration = configuration;
		this.serverSelector = serverSelector;
		this.retryBudgets = retryBudgets;
		this.reachability = reachability;
		this.activeRequests = activeRequests;
		this.streamRelay = new StreamRelay(context, activeRequests);
	}

	void setMigrator(GenerationMigrator system) {
		this.migrator = system;
	}

	StreamRelay streamRelay() {
		return this.streamRelay;
	}

	/**
	 * Sets the exchange of load with other instances.
	 * @param refresh runs a decision once the load of others is known
	 * @param placed called when a generation was placed
	 */
	void setLoadExchange(Consumer<Runnable> refresh, Runnable placed) {
		this.peerLoadRefresher = refresh;
		this.onGenerationDispatched = placed;
	}

	/**
	 * Takes a request that has been read whole.
	 * @param call the request
	 */
	void start(ActiveRequest call) {
		this.activeRequests.register(call);
		this.retryBudgets.recordRequest(call.service.name());
		call.responseWriter = new CallerResponseWriter(call.exchange, () -> {
			if (call.attempt != null) {
				call.attempt.resumeReads();
			}
		});
		call.disconnectDetector = CallerDisconnectDetector.start(call.exchange,
				() -> this.activeRequests.onCallerDisconnected(call));
		call.deadlineTimer = this.context.scheduler.schedule(call.deadlineMillis - this.context.scheduler.nowMillis(),
				() -> this.activeRequests.onDeadlineExceeded(call));
		if (call.reservedTokens > 0) {
			this.peerLoadRefresher.accept(() -> dispatchUnlessFinished(call));
		}
		else {
			dispatch(call);
		}
	}

	private void dispatchUnlessFinished(ActiveRequest call) {
		if (!call.finished) {
			dispatch(call);
		}
	}

	/**
	 * Places a call that has no attempt.
	 * @param call the call
	 */
	void dispatch(ActiveRequest call) {
		Optional<ServerEntry> chosen = this.serverSelector.selectServer(call.service, call.reservedTokens,
				call.triedServers);
		if (chosen.isEmpty() && call.route.semantics().isRetryable()) {
			chosen = this.serverSelector.selectServer(call.service, call.reservedTokens, Set.of());
		}
		if (chosen.isEmpty()) {
			this.activeRequests.end(call, call.toRetryContext().decideWithoutRetry(), "no server may take it");
			return;
		}
		send(call, chosen.get(), Optional.empty());
	}

	/**
	 * Sends a call to a server.
	 * @param call the call
	 * @param entry the server
	 * @param continuation where its generation goes on from, empty for a new one
	 */
	void send(ActiveRequest call, ServerEntry entry, Optional<GenerationResumePoint> continuation) {
		Optional<String> resumeAfter = (continuation.isEmpty() && call.eventOrder.lastDeliveredId().isPresent())
				? call.eventOrder.lastDeliveredId() : Optional.empty();
		long remaining = Math.max(1, call.deadlineMillis - this.context.scheduler.nowMillis());
		DispatchHead head = new DispatchHead(entry.registration.id(), remaining, call.workspace, enginePriority(call),
				continuation, resumeAfter);
		ServerAttempt attempt = new ServerAttempt(this.context, this, call, entry, head);
		call.attempt = attempt;
		call.sendCount++;
		call.triedServers.add(entry.registration.id());
		entry.attempts.add(attempt);
		entry.reservedTokens += call.reservedTokens;
		attempt.pendingPrefillTokens = continuation.isPresent() ? 0 : call.promptTokens();
		entry.pendingPrefillTokens += attempt.pendingPrefillTokens;
		if (call.reservedTokens > 0) {
			this.onGenerationDispatched.run();
		}
		this.context.log.logRoutineRequest(this.context.scheduler.nowMillis(), call.id(), "sent",
				Map.of("server", entry.registration.id(), "route", call.route.name(), "send", call.sendCount,
						"continued", continuation.isPresent(), "promised-tokens", entry.reservedTokens, "running",
						entry.attempts.size() + entry.peerRunningRequests));
		if (call.route.semantics().isRetryable() && call.possibleExecutions + 1 < call.route.maximumAttempts()) {
			attempt.responseTimer = this.context.scheduler.schedule(
					RESPONSE_TIMEOUT_LATENCY_FACTOR * call.route.targetLatencyMillis(),
					() -> onResponseTimeout(attempt));
		}
		attempt.start();
	}

	private OptionalInt enginePriority(ActiveRequest call) {
		if (call.service.engine().isEmpty()) {
			return OptionalInt.empty();
		}
		return OptionalInt.of(Math.min(LOWEST_ENGINE_PRIORITY, HIGHEST_ENGINE_PRIORITY + call.priority));
	}

	/**
	 * Returns whether an attempt may be sent now that its connection is made.
	 * @param attempt the attempt
	 * @return {@code false} if its key can no longer be relied on, or its server left
	 */
	boolean maySend(ServerAttempt attempt) {
		ActiveRequest call = attempt.activeRequest;
		this.reachability.recordConnectSuccess(attempt.server.registration.dataCentre());
		boolean first = call.possibleExecutions == 0;
		if (first && call.isAuthenticated() && !isKeyValid(call)) {
			return false;
		}
		if (attempt.dispatchHead.resumePoint().isEmpty() && (!attempt.server.acceptsRequests()
				|| this.serverSelector.isEvacuated(attempt.server.registration.dataCentre()))) {
			return false;
		}
		call.possibleExecutions++;
		return true;
	}

	private boolean isKeyValid(ActiveRequest call) {
		return this.configuration.isFresh() && this.configuration.routingTable()
			.flatMap((table) -> call.head.apiKey().flatMap(table::findWorkspaceByApiKey))
			.isPresent();
	}

	private void onResponseTimeout(ServerAttempt attempt) {
		ActiveRequest call = attempt.activeRequest;
		boolean quiet = attempt.activeRequest.attempt == attempt && !attempt.hasResponse();
		if (quiet && this.retryBudgets.tryAcquireRetry(call.service.name())) {
			attempt.cancel();
			this.activeRequests.detachAttempt(attempt);
			attempt.server.recordConnectionFailure(this.context.scheduler.nowMillis());
			this.activeRequests.logAttemptDecision(call, "server silent, repeated elsewhere", attempt, "");
			dispatch(call);
		}
	}

	/**
	 * A whole answer that is not a stream has arrived.
	 * @param attempt the attempt it came from
	 */
	void onResponseComplete(ServerAttempt attempt) {
		ActiveRequest call = attempt.activeRequest;
		this.activeRequests.detachAttempt(attempt);
		int status = attempt.response().getResponseCode();
		if (status >= LOWEST_SERVER_ERROR_STATUS) {
			attempt.server.recordServerError();
			if (!call.isCommitted() && tryAcquireRetry(call)) {
				this.activeRequests.logAttemptDecision(call, "server error, repeated elsewhere", attempt,
						String.valueOf(status));
				dispatch(call);
				return;
			}
		}
		else {
			attempt.server.recordSuccess();
		}
		long millis = this.context.scheduler.nowMillis() - call.arrivedMillis;
		this.context.metrics.recordLatency(call.route.name(), millis);
		this.context.log.logRoutineRequest(this.context.scheduler.nowMillis(), call.id(), "answered", Map.of("server",
				attempt.server.registration.id(), "route", call.route.name(), "status", status, "millis", millis));
		this.activeRequests.finish(call, (status >= LOWEST_SERVER_ERROR_STATUS) ? "server-error" : "completed");
		if (call.isCommitted()) {
			call.responseWriter.end();
		}
		else {
			call.responseWriter.sendComplete(status, attempt.responseHeaders(), attempt.bufferedBody());
		}
	}

	/**
	 * The server has said that it did not run the request.
	 * @param attempt the attempt
	 * @param status status of the answer
	 */
	void onNotExecuted(ServerAttempt attempt, int status) {
		ActiveRequest call = attempt.activeRequest;
		this.activeRequests.detachAttempt(attempt);
		call.possibleExecutions--;
		this.activeRequests.logAttemptDecision(call, "server refused", attempt, String.valueOf(status));
		if (!this.migrator.endIfContinuationRejected(attempt)) {
			retryOrEnd(call, "server refused", () -> this.retryBudgets.tryAcquireRetry(call.service.name()));
		}
	}

	/**
	 * An attempt has failed or broken off.
	 * @param attempt the attempt
	 * @param outcome what is known of it
	 * @param reason what went wrong, for logs
	 */
	void onAttemptFailed(ServerAttempt attempt, DeliveryStatus outcome, String reason) {
		ActiveRequest call = attempt.activeRequest;
		this.activeRequests.detachAttempt(attempt);
		attempt.server.recordConnectionFailure(this.context.scheduler.nowMillis());
		if (call.finished) {
			return;
		}
		this.activeRequests.logAttemptDecision(call, "attempt broke", attempt, outcome + ": " + reason);
		boolean notSent = outcome == DeliveryStatus.NOT_SENT;
		if (notSent && reason.equals(HttpClientCall.CONNECT_TIMEOUT_REASON)) {
			this.reachability.recordConnectTimeout(attempt.server.registration.dataCentre(),
					this.context.scheduler.nowMillis());
		}
		if (this.migrator.takeOverEndedSource(attempt)) {
			return;
		}
		if (call.possibleExecutions == 0 && call.isAuthenticated() && !isKeyValid(call)) {
			this.activeRequests.end(call, call.toRetryContext().decideWithoutRetry(), "key not confirmed lately");
		}
		else {
			retryOrEnd(call, reason, () -> notSent || this.retryBudgets.tryAcquireRetry(call.service.name()));
		}
	}

	private void retryOrEnd(ActiveRequest call, String reason, BooleanSupplier budget) {
		RetryDecision step = call.toRetryContext().decide(budget);
		if (step == RetryDecision.RETRY) {
			dispatch(call);
		}
		else {
			this.activeRequests.end(call, step, reason);
		}
	}

	private boolean tryAcquireRetry(ActiveRequest call) {
		return call.toRetryContext()
			.decide(() -> this.retryBudgets.tryAcquireRetry(call.service.name())) == RetryDecision.RETRY;
	}

}
