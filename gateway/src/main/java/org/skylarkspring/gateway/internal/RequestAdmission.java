package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;

import org.skylarkspring.gateway.admission.AdmissionControl;
import org.skylarkspring.gateway.admission.AdmissionDecision;
import org.skylarkspring.gateway.admission.AdmissionReason;
import org.skylarkspring.gateway.admission.AdmissionRequest;
import org.skylarkspring.gateway.admission.ServiceRoom;
import org.skylarkspring.gateway.model.GenerationSize;
import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.peer.DigestParticipant;
import org.skylarkspring.gateway.peer.PeerDigest;

/**
 * Asks {@link AdmissionControl} about each request before its first dispatch, and about
 * the waiting ones again whenever loads change and at a fixed interval.
 */
final class RequestAdmission implements DigestParticipant {

	/** A small part of the shortest time that a request may wait. */
	private static final long DECISION_INTERVAL_MILLIS = 25;

	/** Limits all instances together to 250 reports per second while requests wait. */
	private static final long REFRESH_MILLIS_PER_INSTANCE = 4;

	private static final long MINIMUM_REFRESH_INTERVAL_MILLIS = 100;

	/** Reports are sent at this interval anyway. */
	private static final long MAXIMUM_REFRESH_INTERVAL_MILLIS = 1_000;

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final ServerSelector serverSelector;

	private final ActiveRequestRegistry activeRequests;

	private final RequestDispatcher dispatcher;

	private final PeerTable peers;

	private final AdmissionControl control = new AdmissionControl(() -> ThreadLocalRandom.current().nextDouble());

	private final Map<Long, ActiveRequest> waiting = new LinkedHashMap<>();

	private Predicate<ActiveRequest> startCondition = (request) -> true;

	private Runnable loadRefresher = () -> {
	};

	private Scheduler.Timer intervalTimer;

	private boolean decisionScheduled;

	private long lastRefreshMillis;

	private long lastId;

	RequestAdmission(GatewayContext context, ConfigurationPoller configuration, ServerSelector serverSelector,
			ActiveRequestRegistry activeRequests, RequestDispatcher dispatcher, PeerTable peers) {
		this.context = context;
		this.configuration = configuration;
		this.serverSelector = serverSelector;
		this.activeRequests = activeRequests;
		this.dispatcher = dispatcher;
		this.peers = peers;
		context.metrics.observeWaitingRequests(this.waiting::size);
	}

	/**
	 * Sets the condition under which a waiting request may still be dispatched.
	 * @param condition the condition, {@code false} during a shutdown
	 */
	void setStartCondition(Predicate<ActiveRequest> condition) {
		this.startCondition = condition;
	}

	/**
	 * Sets the task that asks for the current loads of the other instances.
	 * @param refresher the task
	 */
	void setLoadRefresher(Runnable refresher) {
		this.loadRefresher = refresher;
	}

	/**
	 * Dispatches a request for the first time, now or when it is admitted.
	 * @param request the request, which is registered
	 */
	void start(ActiveRequest request) {
		Optional<GenerationSize> size = request.head.generationSize();
		if (size.isEmpty() || !applies(request)) {
			this.dispatcher.dispatch(request);
			return;
		}
		long now = this.context.scheduler.nowMillis();
		AdmissionRequest stated = toAdmissionRequest(request);
		request.reservedTokens = this.control.expectedTokens(stated, size.get(), now);
		request.admission = toAdmissionRequest(request, stated.id());
		if (this.waiting.isEmpty()) {
			apply(request, decide(request, now));
		}
		else {
			addWaiting(request);
			decideAll();
		}
	}

	private boolean applies(ActiveRequest request) {
		Optional<RoutingTable> table = this.configuration.routingTable();
		boolean engine = table.flatMap((current) -> current.findService(request.service.name()))
			.flatMap(ServiceSpec::engine)
			.isPresent();
		return engine && table.get()
			.longestTargetLatencyMillis(request.service.name()) >= AdmissionControl.MINIMUM_TARGET_LATENCY_MILLIS;
	}

	private AdmissionRequest toAdmissionRequest(ActiveRequest request) {
		this.lastId++;
		return toAdmissionRequest(request, this.lastId);
	}

	private static AdmissionRequest toAdmissionRequest(ActiveRequest request, long id) {
		return new AdmissionRequest(id, request.service.name(), request.route.name(), request.workspace.orElse(""),
				request.priority, request.reservedTokens, request.arrivedMillis, request.route.targetLatencyMillis(),
				request.deadlineMillis);
	}

	private AdmissionDecision decide(ActiveRequest request, long nowMillis) {
		ServiceRoom room = roomFor(request);
		return applies(request) ? this.control.decide(request.admission, room, nowMillis)
				: this.control.admitUnconditionally(request.admission, room, nowMillis);
	}

	private ServiceRoom roomFor(ActiveRequest request) {
		return this.serverSelector.findRoom(request.toPlacementRequest(this.context.scheduler.nowMillis()));
	}

	private void apply(ActiveRequest request, AdmissionDecision decision) {
		if (decision instanceof AdmissionDecision.Admit admit) {
			admit(request, admit);
		}
		else if (decision instanceof AdmissionDecision.Refuse refuse) {
			refuse(request, refuse);
		}
		else {
			waitForRoom(request, decision);
		}
	}

	private void waitForRoom(ActiveRequest request, AdmissionDecision decision) {
		if (!request.waitRecorded) {
			request.waitRecorded = true;
			record(request, decision);
		}
		if (!this.waiting.containsKey(request.admission.id())) {
			addWaiting(request);
		}
	}

	private void addWaiting(ActiveRequest request) {
		List<String> keys = request.identityKeys();
		this.control.addWaiting(request.admission, keys.get(keys.size() - 1));
		this.waiting.put(request.admission.id(), request);
		startIntervalTimer();
	}

	private void admit(ActiveRequest request, AdmissionDecision.Admit decision) {
		this.waiting.remove(request.admission.id());
		request.deferred = decision.isDeferred();
		record(request, decision);
		this.control.recordDispatch(request.admission, request.head.generationSize().orElseThrow(), decision,
				this.context.scheduler.nowMillis());
		this.dispatcher.dispatchAvoiding(request, decision.fullServers());
	}

	private void refuse(ActiveRequest request, AdmissionDecision.Refuse decision) {
		record(request, decision);
		this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(), decision.reason().label(),
				decision.retryAfterMillis());
	}

	private void record(ActiveRequest request, AdmissionDecision decision) {
		long now = this.context.scheduler.nowMillis();
		long waitedMillis = now - request.arrivedMillis;
		this.context.metrics.recordAdmission(request.route.name(), decision, waitedMillis);
		if (decision.reason() != AdmissionReason.ROOM || request.waitRecorded) {
			Map<String, Object> fields = decision.figures().toFields();
			fields.put("decision", decision.label());
			fields.put("reason", decision.reason().label());
			fields.put("route", request.route.name());
			fields.put("workspace", request.workspace.orElse(""));
			fields.put("waited-millis", waitedMillis);
			this.context.log.logRoutineRequest(now, request.id(), "admission decided", fields);
		}
	}

	private void startIntervalTimer() {
		if (this.intervalTimer == null) {
			this.intervalTimer = this.context.scheduler.schedule(DECISION_INTERVAL_MILLIS, this::onInterval);
		}
	}

	private void onInterval() {
		this.intervalTimer = null;
		refreshLoads();
		decideAll();
		if (!this.waiting.isEmpty()) {
			startIntervalTimer();
		}
	}

	private void refreshLoads() {
		long now = this.context.scheduler.nowMillis();
		long intervalMillis = Math.min(MAXIMUM_REFRESH_INTERVAL_MILLIS,
				Math.max(MINIMUM_REFRESH_INTERVAL_MILLIS, REFRESH_MILLIS_PER_INSTANCE * this.peers.instanceCount()));
		if (!this.waiting.isEmpty() && !this.peers.isRelay() && now - this.lastRefreshMillis >= intervalMillis) {
			this.lastRefreshMillis = now;
			this.loadRefresher.run();
		}
	}

	// A decision may end other requests, and the load that it places counts for the next
	// one.
	private void decideAll() {
		Map<String, ServiceRoom> rooms = new HashMap<>();
		List<AdmissionRequest> ordered = this.control.waitingInOrder((request) -> rooms
			.computeIfAbsent(request.service(), (service) -> roomFor(this.waiting.get(request.id()))),
				this.context.scheduler.nowMillis());
		ordered.forEach((request) -> Optional.ofNullable(this.waiting.get(request.id())).ifPresent(this::decideAgain));
	}

	// An exception must not leave the other callers without a response.
	private void decideAgain(ActiveRequest request) {
		try {
			if (!this.startCondition.test(request)) {
				this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(),
						"instance is shutting down");
			}
			else if (request.isAuthenticated() && !this.configuration.hasValidKey(request.head)) {
				this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(),
						"API key invalid or not verifiable with a stale configuration");
			}
			else {
				apply(request, decide(request, this.context.scheduler.nowMillis()));
			}
		}
		catch (RuntimeException ex) {
			this.activeRequests.endAfterException(request, ex);
		}
	}

	private void scheduleDecision() {
		if (!this.decisionScheduled && !this.waiting.isEmpty()) {
			this.decisionScheduled = true;
			this.context.scheduler.schedule(0, () -> {
				this.decisionScheduled = false;
				decideAll();
			});
		}
	}

	/**
	 * Handles an event that was relayed to the caller: corrects the memory reserved for
	 * the generation.
	 * @param attempt the attempt that received the event
	 */
	void onEvent(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		if (request.admission == null) {
			return;
		}
		OptionalLong number = request.eventOrder.lastDeliveredNumber();
		OptionalLong tokens = this.control.recordEvent(request.admission.id(), number.orElse(attempt.relayedEvents),
				this.context.scheduler.nowMillis());
		if (tokens.isPresent()) {
			request.reservedTokens = tokens.getAsLong();
			attempt.changeReservation(tokens.getAsLong());
			scheduleDecision();
		}
	}

	/**
	 * Handles the end of a complete stream.
	 * @param request the request
	 */
	void onStreamComplete(ActiveRequest request) {
		if (request.admission != null) {
			this.control.recordCompletion(request.admission.id(), this.context.scheduler.nowMillis());
		}
	}

	/**
	 * Handles the end of a request, whatever its outcome.
	 * @param request the request
	 */
	void onRequestEnded(ActiveRequest request) {
		if (request.admission != null) {
			this.waiting.remove(request.admission.id());
			this.control.recordEnd(request.admission.id(), this.context.scheduler.nowMillis());
			if (this.waiting.isEmpty() && this.intervalTimer != null) {
				this.intervalTimer.cancel();
				this.intervalTimer = null;
			}
			scheduleDecision();
		}
	}

	/**
	 * Returns the time after which the caller of a rejected request may send it again.
	 * @param request the request
	 * @return the time in milliseconds, empty if admission control does not apply
	 */
	OptionalLong retryAfterMillis(ActiveRequest request) {
		return (request.admission == null) ? OptionalLong.empty() : OptionalLong
			.of(this.control.retryAfterMillis(request.admission, roomFor(request), this.context.scheduler.nowMillis()));
	}

	@Override
	public PeerDigest ownDigest(long nowMillis) {
		return this.control.ownDigest(nowMillis);
	}

	@Override
	public void onPeerDigest(PeerDigest digest, long nowMillis) {
		this.control.onPeerDigest(digest, nowMillis);
		scheduleDecision();
	}

	int waitingCount() {
		return this.control.waitingCount();
	}

	int runningCount() {
		return this.control.runningCount();
	}

	boolean isScheduled() {
		return this.intervalTimer != null;
	}

}
