package org.skylarkspring.gateway.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.skylarkspring.gateway.peer.PeerDigest;

/**
 * What the workspaces use and wait for: the requests of this instance, and the sums over
 * the others from their last reports.
 */
final class DemandTable {

	/** Time over which ended requests are added up. */
	static final int WINDOW_MILLIS = 20_000;

	/** Above the number of routes times workspaces of a deployment. */
	private static final int MAXIMUM_WINDOWS = 512;

	/** Interval of the load reports and a margin, up to which sums count fully. */
	private static final long CERTAIN_AGE_MILLIS = 1_200;

	/** Age at which the load reports of the other instances expire. */
	private static final long MAXIMUM_AGE_MILLIS = 2_000;

	/** Ended requests below which the rate of releases is unknown. */
	private static final long MINIMUM_ENDED_REQUESTS = 10;

	/** Deviations of a count by which the true rate may be higher. */
	private static final double RATE_DEVIATIONS = 2;

	private static final long NEVER = Long.MIN_VALUE;

	private final Map<Long, AdmissionRequest> running = new LinkedHashMap<>();

	/**
	 * Dispatched requests that an engine starts after others, until their first event.
	 */
	private final Set<Long> deferred = new HashSet<>();

	private final BoundedTable<WindowKey, DemandWindow> windows = new BoundedTable<>(MAXIMUM_WINDOWS);

	private Map<String, List<WorkspaceDemand>> peersByService = Map.of();

	private long peersReceivedMillis = NEVER;

	private long firstSumMillis = NEVER;

	void addRunning(AdmissionRequest request, long nowMillis) {
		startSums(nowMillis);
		this.running.put(request.id(), request);
	}

	private void startSums(long nowMillis) {
		this.firstSumMillis = (this.firstSumMillis == NEVER) ? nowMillis : this.firstSumMillis;
	}

	void changeRunning(long id, long tokens) {
		this.running.computeIfPresent(id, (key, request) -> request.withTokens(tokens));
	}

	void setDeferred(long id, boolean queued) {
		if (queued) {
			this.deferred.add(id);
		}
		else {
			this.deferred.remove(id);
		}
	}

	void endRunning(long id, long nowMillis) {
		this.deferred.remove(id);
		AdmissionRequest ended = this.running.remove(id);
		if (ended != null) {
			windowOf(ended).add(new DemandWindow.Sums(1, ended.tokens(), 0, 0), nowMillis);
		}
	}

	void recordOutput(AdmissionRequest request, long tokens, long nowMillis) {
		windowOf(request).add(new DemandWindow.Sums(0, 0, 1, tokens), nowMillis);
	}

	private DemandWindow windowOf(AdmissionRequest request) {
		return this.windows.findOrCreate(new WindowKey(request.routeKey(), request.workspace()), DemandWindow::new);
	}

	int runningCount() {
		return this.running.size();
	}

	void setPeers(PeerDigest peers, long nowMillis) {
		List<WorkspaceDemand> entries = (peers.workspaceDemand() != null) ? peers.workspaceDemand() : List.of();
		this.peersByService = entries.stream().collect(Collectors.groupingBy(WorkspaceDemand::service));
		this.peersReceivedMillis = nowMillis;
		startSums(nowMillis);
	}

	/**
	 * Returns the weight of what other instances have reported last: 1 while it is
	 * current, 0 once it has expired, 1 if nothing was ever received.
	 * @param nowMillis current time in milliseconds
	 * @return the weight, 0 to 1
	 */
	double peerCertainty(long nowMillis) {
		if (this.peersReceivedMillis == NEVER) {
			return 1;
		}
		double remaining = MAXIMUM_AGE_MILLIS - (nowMillis - this.peersReceivedMillis);
		return Math.max(0, Math.min(1, remaining / (MAXIMUM_AGE_MILLIS - CERTAIN_AGE_MILLIS)));
	}

	/**
	 * Returns the demand of this instance, to report to the others.
	 * @param waiting the requests that wait
	 * @param nowMillis current time in milliseconds
	 * @return one entry for each service, route and workspace with any demand
	 */
	List<WorkspaceDemand> own(Stream<AdmissionRequest> waiting, long nowMillis) {
		Map<String, WorkspaceDemand> entries = new LinkedHashMap<>();
		this.running.values()
			.forEach((request) -> addTo(entries, toDemand(request, request.tokens(),
					this.deferred.contains(request.id()) ? request.tokens() : 0, 0)));
		waiting.forEach((request) -> addTo(entries, toDemand(request, 0, 0, request.tokens())));
		this.windows.entries().forEach((window) -> {
			DemandWindow.Sums sums = window.getValue().total(nowMillis);
			if (!sums.equals(DemandWindow.Sums.NONE)) {
				addTo(entries,
						new WorkspaceDemand(window.getKey().routeKey().service(), window.getKey().routeKey().route(),
								window.getKey().workspace(), 0, 0, 0, sums.requests(), sums.releasedTokens(),
								sums.generations(), sums.outputTokens()));
			}
		});
		return List.copyOf(entries.values());
	}

	private static WorkspaceDemand toDemand(AdmissionRequest request, long runningTokens, long deferredTokens,
			long waitingTokens) {
		return new WorkspaceDemand(request.service(), request.route(), request.workspace(), runningTokens,
				deferredTokens, waitingTokens, 0, 0, 0, 0);
	}

	private static void addTo(Map<String, WorkspaceDemand> entries, WorkspaceDemand demand) {
		entries.merge(demand.key(), demand, WorkspaceDemand::plus);
	}

	/**
	 * Returns the mean length of the generations of all instances.
	 * @param service service of the generations
	 * @param condition which entries count
	 * @param minimumGenerations number of generations below which the mean is unknown
	 * @param nowMillis current time in milliseconds
	 * @return the mean in tokens, empty if unknown
	 */
	OptionalDouble meanOutputTokens(String service, Predicate<WorkspaceDemand> condition, long minimumGenerations,
			long nowMillis) {
		List<WorkspaceDemand> entries = entriesOf(service, Stream.empty(), nowMillis).filter(condition).toList();
		long generations = entries.stream().mapToLong(WorkspaceDemand::measuredGenerations).sum();
		long tokens = entries.stream().mapToLong(WorkspaceDemand::outputTokens).sum();
		return (generations < Math.max(1, minimumGenerations)) ? OptionalDouble.empty()
				: OptionalDouble.of((double) tokens / generations);
	}

	private Stream<WorkspaceDemand> entriesOf(String service, Stream<AdmissionRequest> waiting, long nowMillis) {
		Stream<WorkspaceDemand> peers = (peerCertainty(nowMillis) > 0)
				? this.peersByService.getOrDefault(service, List.of()).stream() : Stream.empty();
		return Stream.concat(own(waiting, nowMillis).stream().filter((entry) -> entry.service().equals(service)),
				peers);
	}

	/**
	 * Returns the demand for a service on all instances.
	 * @param service the service
	 * @param waiting the requests that wait at this instance
	 * @param nowMillis current time in milliseconds
	 * @return the demand
	 */
	ServiceDemand ofService(String service, Stream<AdmissionRequest> waiting, long nowMillis) {
		Map<String, Long> runningTokens = new HashMap<>();
		Map<String, Long> waitingTokens = new HashMap<>();
		List<WorkspaceDemand> entries = entriesOf(service, waiting, nowMillis).toList();
		entries.forEach((entry) -> {
			runningTokens.merge(entry.workspace(), entry.runningTokens(), Long::sum);
			waitingTokens.merge(entry.workspace(), entry.waitingTokens(), Long::sum);
		});
		return new ServiceDemand(runningTokens, waitingTokens,
				entries.stream().mapToLong(WorkspaceDemand::deferredTokens).sum(), releaseRate(entries, nowMillis));
	}

	// Instances that have started recently add up over less than the window. The rate is
	// too high while only this one has, so that requests are rather admitted.
	private OptionalDouble releaseRate(List<WorkspaceDemand> entries, long nowMillis) {
		long ended = entries.stream().mapToLong(WorkspaceDemand::endedRequests).sum();
		long tokens = entries.stream().mapToLong(WorkspaceDemand::releasedTokens).sum();
		if (ended < MINIMUM_ENDED_REQUESTS || this.firstSumMillis == NEVER) {
			return OptionalDouble.empty();
		}
		double elapsedMillis = Math.max(1, Math.min(WINDOW_MILLIS, nowMillis - this.firstSumMillis));
		return OptionalDouble.of(tokens / elapsedMillis * (1 + RATE_DEVIATIONS / Math.sqrt(ended)));
	}

	/**
	 * Demand for a service on all instances.
	 *
	 * @param runningTokens memory of dispatched requests, by workspace, in tokens
	 * @param waitingTokens memory that waiting requests need, by workspace, in tokens
	 * @param deferredTokens memory of deferred requests that engines have not started, in
	 * tokens
	 * @param releasedTokensPerMilli upper estimate of the rate at which memory is
	 * released, empty if unknown
	 */
	record ServiceDemand(Map<String, Long> runningTokens, Map<String, Long> waitingTokens, long deferredTokens,
			OptionalDouble releasedTokensPerMilli) {

		Map<String, Long> wantedTokens() {
			Map<String, Long> wanted = new HashMap<>(this.runningTokens);
			this.waitingTokens.forEach((workspace, tokens) -> wanted.merge(workspace, tokens, Long::sum));
			return wanted;
		}

		long runningOf(String workspace) {
			return this.runningTokens.getOrDefault(workspace, 0L);
		}

		long waitingOf(String workspace) {
			return this.waitingTokens.getOrDefault(workspace, 0L);
		}

	}

	private record WindowKey(AdmissionRequest.RouteKey routeKey, String workspace) {
	}

}
