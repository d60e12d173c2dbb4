package org.skylarkspring.gateway.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.model.GenerationResumePoint;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.placement.DataCentreReachabilityTracker;
import org.skylarkspring.gateway.placement.PlacementRequest;
import org.skylarkspring.gateway.policy.AttemptTimeouts;
import org.skylarkspring.gateway.policy.RetryDecision;
import org.skylarkspring.gateway.policy.ServiceResponseTimes;
import org.skylarkspring.gateway.pressure.ResponseMemory;

/**
 * Dispatches requests to servers: selects a server, sends the request to it and to
 * another one if it does not respond in time.
 */
final class RequestDispatcher {

	/**
	 * Time for which a new connection to a server is kept open before the server is asked
	 * to continue a generation that another one has not taken. A server that resets
	 * connections as soon as it accepts them shows it within this time, so that the
	 * request is known not to have run.
	 */
	private static final long CONNECTION_CHECK_MILLIS = 20;

	/** The same for a server that has closed a connection before, or was not reached. */
	private static final long REPEATED_CONNECTION_CHECK_MILLIS = 100;

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final ServerSelector serverSelector;

	private final RetryBudgets retryBudgets;

	private final DataCentreReachabilityTracker reachability;

	private final ActiveRequestRegistry activeRequests;

	private final CrashQuarantine crashQuarantine;

	private final StreamRelay streamRelay;

	private final AttemptSender attemptSender;

	private final ServiceResponseTimes responseTimes = new ServiceResponseTimes();

	private final AttemptOutcomeHandler outcomes;

	private final ServerRateLimits serverRateLimits;

	private GenerationMigrator migrator;

	private Consumer<ActiveRequest> arrivalListener = (request) -> {
	};

	private Consumer<Runnable> peerLoadRefresher = Runnable::run;

	private Consumer<ActiveRequest> firstDispatch = this::dispatch;

	RequestDispatcher(GatewayContext context, ConfigurationPoller configuration, ServerSelector serverSelector,
			RetryBudgets retryBudgets, DataCentreReachabilityTracker reachability, ActiveRequestRegistry activeRequests,
			CrashQuarantine crashQuarantine, ServerRateLimits serverRateLimits) {
		this.context = context;
		this.configuration = configuration;
		this.serverSelector = serverSelector;
		this.retryBudgets = retryBudgets;
		this.reachability = reachability;
		this.activeRequests = activeRequests;
		this.crashQuarantine = crashQuarantine;
		this.serverRateLimits = serverRateLimits;
		this.streamRelay = new StreamRelay(context, activeRequests, crashQuarantine);
		this.attemptSender = new AttemptSender(context, serverSelector);
		this.outcomes = new AttemptOutcomeHandler(context, configuration, retryBudgets, reachability, activeRequests,
				crashQuarantine, this.responseTimes, this::dispatch, this::sendAgain);
	}

	void setMigrator(GenerationMigrator migrator) {
		this.migrator = migrator;
		this.outcomes.setMigrator(migrator);
	}

	/**
	 * Sets the listener that is told of each request before it is sent to a server.
	 * @param listener the listener
	 */
	void setArrivalListener(Consumer<ActiveRequest> listener) {
		this.arrivalListener = listener;
	}

	ResponseMemory responseMemory() {
		return this.activeRequests.responseMemory();
	}

	AttemptOutcomeHandler outcomes() {
		return this.outcomes;
	}

	ServerRateLimits serverRateLimits() {
		return this.serverRateLimits;
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
	 * Sets what dispatches a generation for the first time.
	 * @param step the step, which calls {@link #dispatch} or {@link #dispatchAvoiding},
	 * now or later, unless the request ends before
	 */
	void setFirstDispatch(Consumer<ActiveRequest> step) {
		this.firstDispatch = step;
	}

	/**
	 * Returns the time within which a request on a route usually has its response, or the
	 * first event of a stream.
	 * @param route the route
	 * @param service the service that the request is for
	 * @return the target latency of the route as long as no response time is known, in
	 * milliseconds
	 */
	long usualResponseMillis(RouteSpec route, ServiceSpec service) {
		double usual = route.semantics().isStreaming() ? -1 : this.responseTimes.usualMillis(service.name());
		return (usual < 0) ? route.targetLatencyMillis() : Math.round(usual);
	}

	/**
	 * Registers a request whose body has been read and dispatches it.
	 * @param request the request
	 */
	void start(ActiveRequest request) {
		request.responseWriter = new CallerResponseWriter(request.exchange, () -> {
			if (request.attempt != null) {
				request.attempt.resumeReads();
			}
		}, this.activeRequests.responseMemory());
		this.activeRequests.register(request);
		endOnException(request, () -> startRegistered(request));
	}

	private void startRegistered(ActiveRequest request) {
		this.activeRequests.startDeadlineTimer(request);
		request.disconnectDetector = CallerDisconnectDetector.start(request.exchange,
				() -> this.activeRequests.onCallerDisconnected(request));
		this.retryBudgets.recordRequest(request.service.name());
		this.arrivalListener.accept(request);
		if (request.reservedTokens > 0) {
			this.peerLoadRefresher.accept(() -> dispatchUnlessFinished(request));
		}
		else {
			dispatch(request);
		}
	}

	// The I/O thread only logs an exception, so that the caller would wait in vain.
	private void endOnException(ActiveRequest request, Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.activeRequests.endAfterException(request, ex);
		}
	}

	private void dispatchUnlessFinished(ActiveRequest request) {
		if (!request.finished) {
			endOnException(request, () -> this.firstDispatch.accept(request));
		}
	}

	/**
	 * Selects a server for a request without a running attempt and sends the request to
	 * it. Only a retryable request is sent to a server that was tried before, and only if
	 * no other one is eligible that has not failed recently. Ends the request if its
	 * prompt is quarantined, there is no eligible server or an exception is thrown.
	 * @param request the request
	 */
	void dispatch(ActiveRequest request) {
		endOnException(request, () -> selectServerAndSend(request));
	}

	/**
	 * Dispatches a request to one of the servers that have room for it, or to any other
	 * if none of these takes it.
	 * @param request the request, which has not been dispatched before
	 * @param fullServers ids of the servers without room
	 */
	void dispatchAvoiding(ActiveRequest request, Set<String> fullServers) {
		if (fullServers.isEmpty()) {
			dispatch(request);
			return;
		}
		endOnException(request, () -> {
			if (this.crashQuarantine.endIfQuarantined(request)) {
				return;
			}
			Optional<ServerEntry> server = this.serverSelector
				.selectServer(request.toPlacementRequest(this.context.scheduler.nowMillis()), fullServers);
			server.ifPresentOrElse((entry) -> send(request, entry), () -> selectServerAndSend(request));
		});
	}

	private void selectServerAndSend(ActiveRequest request) {
		this.migrator.abortMigration(request);
		if (this.crashQuarantine.endIfQuarantined(request)) {
			return;
		}
		PlacementRequest placement = request.toPlacementRequest(this.context.scheduler.nowMillis());
		Optional<ServerEntry> server = request.route.semantics().isRetryable()
				? this.serverSelector.selectServerForRetry(placement, request.triedServers)
				: this.serverSelector.selectServer(placement, request.triedServers);
		if (server.isEmpty()) {
			endWithoutServer(request);
			return;
		}
		send(request, server.get());
	}

	private void endWithoutServer(ActiveRequest request) {
		RetryDecision decision = request.toRetryContext().decideWithoutRetry();
		OptionalLong millisUntilAccepted = this.serverSelector.millisUntilAccepted(request.service);
		if (millisUntilAccepted.isPresent()) {
			this.activeRequests.end(request, decision, "servers accept no requests or a limited rate of them",
					millisUntilAccepted.getAsLong());
		}
		else {
			this.activeRequests.end(request, decision, "no eligible server");
		}
	}

	/**
	 * Sends a request to a server.
	 * @param request the request
	 * @param entry the server
	 */
	private void send(ActiveRequest request, ServerEntry entry) {
		send(request, entry, Optional.empty(), null);
	}

	// Only the server that keeps a copy of a generation can continue it.
	private void sendAgain(ServerAttempt unsent) {
		unsent.dispatchHead.resumePoint()
			.ifPresent((resumePoint) -> resumeOn(unsent.activeRequest, unsent.server, resumePoint, unsent.origin));
	}

	/**
	 * Handles the connection to a server that is to continue a generation.
	 * @param attempt the attempt on that server, which waits
	 */
	void onWaitingConnected(ServerAttempt attempt) {
		if (attempt.isSuccessor()) {
			this.migrator.handover().onConnected(attempt);
		}
		else {
			this.context.scheduler.schedule(connectionCheckMillis(attempt.activeRequest, attempt.server),
					() -> sendIfConnected(attempt));
		}
	}

	/**
	 * Returns for how long a new connection is kept open before the server is asked to
	 * continue a generation that another one has not taken.
	 * @param request the request
	 * @param server the server
	 * @return time in milliseconds
	 */
	static long connectionCheckMillis(ActiveRequest request, ServerEntry server) {
		return request.hasNotReached(server.registration.id()) ? REPEATED_CONNECTION_CHECK_MILLIS
				: CONNECTION_CHECK_MILLIS;
	}

	private void sendIfConnected(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		if (request.attempt == attempt && attempt.isWaiting()) {
			request.possibleExecutions++;
			attempt.dispatchHead.resumePoint()
				.ifPresent((resumePoint) -> attempt.resumeFrom(resumePoint,
						Math.max(1, request.deadlineMillis - this.context.scheduler.nowMillis())));
		}
	}

	private void send(ActiveRequest request, ServerEntry entry, Optional<GenerationResumePoint> resumePoint,
			GenerationMigration origin) {
		ServerAttempt attempt = this.attemptSender.createAttempt(this, request, entry, resumePoint);
		attempt.origin = origin;
		request.attempt = attempt;
		startResponseTimer(attempt);
		this.attemptSender.start(attempt);
	}

	/**
	 * Sends a request to the server that is to continue its generation.
	 * @param request the request
	 * @param entry the server
	 * @param resumePoint point from which the generation resumes
	 * @param origin migration that the attempt continues
	 */
	void resumeOn(ActiveRequest request, ServerEntry entry, GenerationResumePoint resumePoint,
			GenerationMigration origin) {
		endOnException(request, () -> send(request, entry, Optional.of(resumePoint), origin));
	}

	/**
	 * Connects to the server that is to continue a generation. The request is sent when
	 * the source has stopped.
	 * @param request the request
	 * @param entry the server
	 * @param resumePoint point from which the generation resumes
	 */
	void connectSuccessor(ActiveRequest request, ServerEntry entry, GenerationResumePoint resumePoint) {
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
				: this.responseTimes.usualMillis(request.service.name());
		attempt.responseTimer = this.context.scheduler
			.scheduleTimeout(AttemptTimeouts.responseTimeoutMillis(request.route.targetLatencyMillis(), usualMillis,
					attempt.dispatchHead.remainingMillis()), () -> onResponseTimeout(attempt));
	}

	/**
	 * Decides whether an attempt is sent now that its connection is established, and if
	 * so, counts it as a possible execution of the request.
	 * @param attempt the attempt
	 * @return the decision; the attempt waits if the source of its generation has to stop
	 * first or the connection has to be checked, and is withdrawn if the API key can no
	 * longer be verified before the first execution, if the server wants no requests for
	 * a while, or if the attempt does not resume a copied generation and its server is
	 * terminating or its data centre is evacuated
	 */
	HttpClientCall.SendDecision decideSend(ServerAttempt attempt) {
		this.reachability.recordConnectSuccess(attempt.server.registration.dataCentre(),
				this.context.scheduler.nowMillis());
		if (!maySend(attempt)) {
			return HttpClientCall.SendDecision.WITHDRAW;
		}
		if (attempt.isSuccessor() || attempt.origin != null) {
			return HttpClientCall.SendDecision.WAIT;
		}
		attempt.activeRequest.possibleExecutions++;
		return HttpClientCall.SendDecision.SEND;
	}

	/**
	 * Returns whether the request of an attempt may still be sent to its server. A copied
	 * generation may continue on a server that terminates or is evacuated, because no
	 * other one has the copy.
	 * @param attempt the attempt
	 * @return {@code false} if it has to be withdrawn
	 */
	boolean maySend(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		boolean firstExecution = request.possibleExecutions == 0;
		if (firstExecution && request.isAuthenticated() && !this.configuration.hasValidKey(request.head)) {
			return false;
		}
		if (attempt.server.backoffMillis(this.context.scheduler.nowMillis()) > 0) {
			return false;
		}
		if (attempt.dispatchHead.resumePoint().isEmpty() && (!attempt.server.acceptsRequests()
				|| this.serverSelector.isEvacuated(attempt.server.registration.dataCentre()))) {
			return false;
		}
		return attempt.dispatchHead.resumePoint().isPresent() || this.serverSelector
			.isStillAllowed(request.toPlacementRequest(this.context.scheduler.nowMillis()), attempt.server);
	}

	private void onResponseTimeout(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		boolean awaitingResponse = attempt.activeRequest.attempt == attempt && !request.isCommitted();
		if (awaitingResponse && this.retryBudgets.tryAcquireRetry(request.service.name())) {
			this.activeRequests.attemptListener().onAttemptEnded(attempt, true);
			this.activeRequests.cancelAttempt(attempt);
			attempt.server.recordResponseTimeout(this.context.scheduler.nowMillis());
			this.activeRequests.logAttemptDecision(request, "response timeout, retrying on another server", attempt,
					"no complete response within " + (this.context.scheduler.nowMillis() - attempt.startedMillis)
							+ " ms");
			dispatch(request);
			this.migrator.stopAbandoned(attempt);
		}
	}

}
