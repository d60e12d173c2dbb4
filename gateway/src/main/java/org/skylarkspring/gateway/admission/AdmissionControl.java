package org.skylarkspring.gateway.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

import org.skylarkspring.gateway.model.GenerationSize;
import org.skylarkspring.gateway.peer.DigestParticipant;
import org.skylarkspring.gateway.peer.PeerDigest;

/**
 * Decides whether requests are dispatched now, wait at this instance for room, or are
 * refused. A request is admitted whenever a server has room and whenever it is not
 * certain that none has; engines queue what does not fit. <pre class="code">
 * AdmissionDecision decision = control.decide(request, room, nowMillis);
 * </pre>
 */
public final class AdmissionControl implements DigestParticipant {

	/** Shortest target latency that leaves time to wait for room. */
	public static final long MINIMUM_TARGET_LATENCY_MILLIS = 3_000;

	/** Part of the allowed time that is kept while the time that is needed is unknown. */
	private static final double UNKNOWN_TIME_SHARE = 0.5;

	/** Used while the time of room is unknown. */
	private static final long DEFAULT_RETRY_AFTER_MILLIS = 300;

	private static final long MINIMUM_RETRY_AFTER_MILLIS = 100;

	/** Callers follow a Retry-After up to a third of the time they have left. */
	private static final int RETRY_AFTER_DIVISOR = 3;

	/** Above the number of routes of a deployment. */
	private static final int MAXIMUM_ROUTES = 128;

	/** The configuration gives no weights to workspaces. */
	private static final double WORKSPACE_WEIGHT = 1;

	private final DoubleSupplier random;

	private final AdmissionQueue queue = new AdmissionQueue();

	private final DemandTable demand = new DemandTable();

	private final OutputLengths outputLengths = new OutputLengths(this.demand);

	private final BoundedTable<AdmissionRequest.RouteKey, RouteTimes> times = new BoundedTable<>(MAXIMUM_ROUTES);

	private final Map<Long, Running> running = new HashMap<>();

	/**
	 * Creates an admission control.
	 * @param random returns random numbers from 0 to below 1
	 */
	public AdmissionControl(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Returns the KV cache memory that a generation is expected to need.
	 * @param request the request
	 * @param size size stated in the request
	 * @param nowMillis current time in milliseconds
	 * @return number of tokens
	 */
	public long expectedTokens(AdmissionRequest request, GenerationSize size, long nowMillis) {
		return this.outputLengths.expectedTokens(request, size, nowMillis);
	}

	/**
	 * Decides about a request that has not been dispatched. Changes nothing.
	 * @param request the request
	 * @param room servers of its service
	 * @param nowMillis current time in milliseconds
	 * @return the decision
	 */
	public AdmissionDecision decide(AdmissionRequest request, ServiceRoom room, long nowMillis) {
		AdmissionFigures figures = figures(request, room, nowMillis);
		if (room.servers().isEmpty()) {
			return new AdmissionDecision.Admit(Set.of(), AdmissionReason.NO_SERVER, figures);
		}
		if (room.hasRoom(request.tokens(), figures.peerCertainty())) {
			return new AdmissionDecision.Admit(room.fullServers(request.tokens(), figures.peerCertainty()),
					AdmissionReason.ROOM, figures);
		}
		return decideWithoutRoom(request, room, figures, nowMillis);
	}

	// A request that waits here while engines have queues gets no room, because engines
	// start what they have queued first.
	private AdmissionDecision decideWithoutRoom(AdmissionRequest request, ServiceRoom room, AdmissionFigures figures,
			long nowMillis) {
		long untilMillis = latestStartMillis(request);
		boolean inTime = nowMillis + figures.expectedRoomMillis().orElse(0) < untilMillis;
		if (inTime && room.hasServerWithoutQueue(figures.peerCertainty())) {
			return new AdmissionDecision.Wait(untilMillis, AdmissionReason.NO_ROOM, figures);
		}
		boolean aboveShare = figures.workspaceTokens() > figures.workspaceShareTokens();
		if (inTime && !aboveShare) {
			return new AdmissionDecision.Admit(Set.of(), AdmissionReason.ENGINE_QUEUE, figures);
		}
		if (isDeadlineUnreachable(request, room, figures, nowMillis)) {
			return new AdmissionDecision.Refuse(retryAfterMillis(request, figures, nowMillis),
					AdmissionReason.DEADLINE_UNREACHABLE, figures);
		}
		return new AdmissionDecision.Admit(Set.of(), inTime ? AdmissionReason.ABOVE_SHARE : AdmissionReason.LATE,
				figures);
	}

	/**
	 * Returns the decision about a request to which admission control does not apply any
	 * more.
	 * @param request the request
	 * @param room servers of its service
	 * @param nowMillis current time in milliseconds
	 * @return the decision
	 */
	public AdmissionDecision admitUnconditionally(AdmissionRequest request, ServiceRoom room, long nowMillis) {
		return new AdmissionDecision.Admit(Set.of(), AdmissionReason.NOT_APPLICABLE, figures(request, room, nowMillis));
	}

	// In doubt the request is admitted: a late response is of more use than none.
	private static boolean isDeadlineUnreachable(AdmissionRequest request, ServiceRoom room, AdmissionFigures figures,
			long nowMillis) {
		long earliestEndMillis = nowMillis + figures.expectedQueueMillis().orElse(0) + figures.expectedServiceMillis();
		return figures.peerCertainty() >= 1 && room.isHalfTaken() && earliestEndMillis > request.deadlineMillis();
	}

	private long latestStartMillis(AdmissionRequest request) {
		RouteTimes known = timesOf(request);
		long firstEventMillis = known.firstEvent.highMillisOr(share(request.targetLatencyMillis()));
		long responseMillis = known.response.highMillisOr(share(request.deadlineMillis() - request.arrivedMillis()));
		return Math.min(request.arrivedMillis() + request.targetLatencyMillis() - firstEventMillis,
				request.deadlineMillis() - responseMillis);
	}

	private static long share(long allowedMillis) {
		return (long) (UNKNOWN_TIME_SHARE * allowedMillis);
	}

	private RouteTimes timesOf(AdmissionRequest request) {
		return this.times.findOrCreate(request.routeKey(), RouteTimes::new);
	}

	private AdmissionFigures figures(AdmissionRequest request, ServiceRoom room, long nowMillis) {
		double certainty = this.demand.peerCertainty(nowMillis);
		DemandTable.ServiceDemand service = demandOf(request.service(), nowMillis);
		Map<String, Double> shares = shares(room, service);
		long aheadTokens = aheadTokens(request, service, shares);
		double missingTokens = room.leastMissingShare(request.tokens(), certainty) * room.capacityTokens();
		return new AdmissionFigures(request.tokens(), room.largestFreeTokens(certainty), room.takenSlots(),
				room.totalSlots(), service.runningOf(request.workspace()),
				Math.round(shares.getOrDefault(request.workspace(), 0.0)), service.deferredTokens(), aheadTokens,
				releaseMillis(Math.max(0, missingTokens - service.deferredTokens()) + aheadTokens, service),
				releaseMillis(missingTokens + aheadTokens, service), timesOf(request).response.lowMillis(), certainty);
	}

	private DemandTable.ServiceDemand demandOf(String service, long nowMillis) {
		return this.demand.ofService(service, this.queue.requests(), nowMillis);
	}

	private static Map<String, Double> shares(ServiceRoom room, DemandTable.ServiceDemand service) {
		return FairShares.divide(room.capacityTokens(), service.wantedTokens(), (workspace) -> WORKSPACE_WEIGHT);
	}

	private static boolean exceedsShare(String workspace, DemandTable.ServiceDemand service,
			Map<String, Double> shares) {
		return service.runningOf(workspace) > shares.getOrDefault(workspace, 0.0);
	}

	// A workspace within its share does not stand behind those above theirs.
	private static long aheadTokens(AdmissionRequest request, DemandTable.ServiceDemand service,
			Map<String, Double> shares) {
		boolean behindAll = exceedsShare(request.workspace(), service, shares);
		long others = service.waitingTokens()
			.keySet()
			.stream()
			.filter((workspace) -> !workspace.equals(request.workspace()))
			.filter((workspace) -> behindAll || !exceedsShare(workspace, service, shares))
			.mapToLong(service::waitingOf)
			.sum();
		return others + Math.max(0, service.waitingOf(request.workspace()) - request.tokens());
	}

	private static OptionalLong releaseMillis(double tokens, DemandTable.ServiceDemand service) {
		double rate = service.releasedTokensPerMilli().orElse(0);
		return (rate <= 0) ? OptionalLong.empty() : OptionalLong.of(Math.round(tokens / rate));
	}

	/**
	 * Returns the time after which the caller of a refused request may send it again:
	 * when room is expected, spread over the length of the queue so that callers do not
	 * return together, and no later than callers obey.
	 * @param request the request
	 * @param room servers of its service
	 * @param nowMillis current time in milliseconds
	 * @return the time in milliseconds
	 */
	public long retryAfterMillis(AdmissionRequest request, ServiceRoom room, long nowMillis) {
		return retryAfterMillis(request, figures(request, room, nowMillis), nowMillis);
	}

	private long retryAfterMillis(AdmissionRequest request, AdmissionFigures figures, long nowMillis) {
		long roomMillis = figures.expectedRoomMillis().orElse(DEFAULT_RETRY_AFTER_MILLIS);
		long queueMillis = figures.expectedQueueMillis().orElse(DEFAULT_RETRY_AFTER_MILLIS);
		double spreadMillis = Math.max(MINIMUM_RETRY_AFTER_MILLIS, queueMillis) * this.random.getAsDouble();
		long remainingMillis = Math.max(0, request.deadlineMillis() - nowMillis);
		long followedMillis = (long) (remainingMillis / RETRY_AFTER_DIVISOR * (1 + this.random.getAsDouble()) / 2);
		return Math.max(MINIMUM_RETRY_AFTER_MILLIS, Math.min(followedMillis, roomMillis + (long) spreadMillis));
	}

	/**
	 * Adds a request to those that wait.
	 * @param request the request
	 * @param identity key that the request has in common with its repeats
	 */
	public void addWaiting(AdmissionRequest request, String identity) {
		this.queue.add(request, identity);
	}

	/**
	 * Returns the waiting requests in the order in which they are to be decided.
	 * @param roomOfService returns the servers of a service
	 * @param nowMillis current time in milliseconds
	 * @return the requests
	 */
	public List<AdmissionRequest> waitingInOrder(Function<AdmissionRequest, ServiceRoom> roomOfService,
			long nowMillis) {
		Map<String, Set<String>> exceeding = new HashMap<>();
		return this.queue.inOrder((request) -> exceeding
			.computeIfAbsent(request.service(),
					(service) -> findExceeding(service, roomOfService.apply(request), nowMillis))
			.contains(request.workspace()));
	}

	private Set<String> findExceeding(String name, ServiceRoom room, long nowMillis) {
		DemandTable.ServiceDemand service = demandOf(name, nowMillis);
		Map<String, Double> shares = shares(room, service);
		return Set.copyOf(service.runningTokens()
			.keySet()
			.stream()
			.filter((workspace) -> exceedsShare(workspace, service, shares))
			.toList());
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int waitingCount() {
		return this.queue.size();
	}

	/**
	 * Returns the number of dispatched requests that have not ended.
	 * @return the number
	 */
	public int runningCount() {
		return this.demand.runningCount();
	}

	/**
	 * Records that a request is dispatched for the first time.
	 * @param request the request
	 * @param size size of the generation
	 * @param decision decision to admit it
	 * @param nowMillis current time in milliseconds
	 */
	public void recordDispatch(AdmissionRequest request, GenerationSize size, AdmissionDecision.Admit decision,
			long nowMillis) {
		this.queue.removeDispatched(request.id());
		this.demand.addRunning(request, nowMillis);
		this.running.put(request.id(), new Running(new OutputLengths.Generation(request, size),
				decision.reason() == AdmissionReason.ROOM, nowMillis));
		this.demand.setDeferred(request.id(), decision.isDeferred());
	}

	/**
	 * Records an event that a dispatched request has received.
	 * @param id id of the request
	 * @param eventNumber number of the event
	 * @param nowMillis current time in milliseconds
	 * @return the memory that the request is now expected to need, in tokens, empty if it
	 * has not changed
	 */
	public OptionalLong recordEvent(long id, long eventNumber, long nowMillis) {
		Running request = this.running.get(id);
		if (request == null) {
			return OptionalLong.empty();
		}
		if (!request.firstEventReceived) {
			request.firstEventReceived = true;
			this.demand.setDeferred(id, false);
			recordTime(request, timesOf(request.generation.request()).firstEvent, nowMillis);
		}
		if (!this.outputLengths.recordEvent(request.generation, eventNumber)) {
			return OptionalLong.empty();
		}
		this.demand.changeRunning(id, request.generation.expectedTokens());
		return OptionalLong.of(request.generation.expectedTokens());
	}

	// Times of requests that an engine queued would shorten the wait for room.
	private static void recordTime(Running request, DurationEstimate estimate, long nowMillis) {
		if (request.dispatchedWithRoom) {
			estimate.record(nowMillis - request.dispatchedMillis);
		}
	}

	/**
	 * Records that the stream of a dispatched request is complete.
	 * @param id id of the request
	 * @param nowMillis current time in milliseconds
	 */
	public void recordCompletion(long id, long nowMillis) {
		Running request = this.running.get(id);
		if (request != null) {
			recordTime(request, timesOf(request.generation.request()).response, nowMillis);
			this.outputLengths.recordEnd(request.generation, nowMillis);
		}
	}

	/**
	 * Records that a request has ended, whatever its outcome, and forgets it.
	 * @param id id of the request
	 * @param nowMillis current time in milliseconds
	 * @return whether it was waiting
	 */
	public boolean recordEnd(long id, long nowMillis) {
		this.running.remove(id);
		this.demand.endRunning(id, nowMillis);
		return this.queue.removeEnded(id);
	}

	@Override
	public PeerDigest ownDigest(long nowMillis) {
		List<WorkspaceDemand> entries = this.demand.own(this.queue.requests(), nowMillis);
		return entries.isEmpty() ? PeerDigest.EMPTY : new PeerDigest(null, null, entries, null);
	}

	@Override
	public void onPeerDigest(PeerDigest peers, long nowMillis) {
		this.demand.setPeers(peers, nowMillis);
	}

	int estimatorCount() {
		return this.outputLengths.estimatorCount();
	}

	private static final class RouteTimes {

		private final DurationEstimate firstEvent = new DurationEstimate();

		private final DurationEstimate response = new DurationEstimate();

	}

	private static final class Running {

		private final OutputLengths.Generation generation;

		private final boolean dispatchedWithRoom;

		private final long dispatchedMillis;

		private boolean firstEventReceived;

		private Running(OutputLengths.Generation generation, boolean dispatchedWithRoom, long dispatchedMillis) {
			this.generation = generation;
			this.dispatchedWithRoom = dispatchedWithRoom;
			this.dispatchedMillis = dispatchedMillis;
		}

	}

}
