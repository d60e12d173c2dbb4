package org.skylarkspring.gateway.pace;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.skylarkspring.gateway.peer.DigestParticipant;
import org.skylarkspring.gateway.peer.ExpiringSums;
import org.skylarkspring.gateway.peer.PeerDigest;

/**
 * How long work takes on each server, from the observations of all instances. Only
 * servers that report their pace have an entry, so that nothing is exchanged or decided
 * by it elsewhere.
 */
public final class ServerPaces implements DigestParticipant {

	/**
	 * Time after which own observations count no more; at most twice as long. Long enough
	 * for the average to cover the short disturbances by others on the same machine.
	 */
	private static final long WINDOW_MILLIS = 5_000;

	/** Time in which the effect of a single report on the current pace fades. */
	private static final double CURRENT_FADE_MILLIS = 300;

	/** Weight of the service's average, in reports, until a server has reported more. */
	private static final double AVERAGE_WEIGHT_REPORTS = 1;

	private static final double PERCENT = 100;

	/** Above the number of servers of a deployment. */
	private static final int MAXIMUM_INVALID_SERVERS = 10_000;

	private final Map<String, Entry> entries = new HashMap<>();

	private final Set<String> invalidServers = new HashSet<>();

	private final ExpiringSums<Map<String, ServerWork>> peers = new ExpiringSums<>(Map.of());

	/**
	 * Records a pace that a server reported.
	 * @param serverId id of the server
	 * @param durationPercent how long work takes, in percent of the usual duration
	 * @param nowMillis current time in milliseconds
	 */
	public void recordReport(String serverId, int durationPercent, long nowMillis) {
		Entry entry = this.entries.computeIfAbsent(serverId, (id) -> new Entry(id, nowMillis));
		entry.add(ServerWork.ofReport(serverId, durationPercent), nowMillis);
		entry.latestPercent = durationPercent;
		entry.latestMillis = nowMillis;
	}

	/**
	 * Records that a server reported something that is no pace.
	 * @param serverId id of the server
	 * @return whether this is the first time, so that it has to be logged
	 */
	public boolean recordInvalid(String serverId) {
		if (this.invalidServers.size() >= MAXIMUM_INVALID_SERVERS) {
			this.invalidServers.clear();
		}
		return this.invalidServers.add(serverId);
	}

	/**
	 * Records a stream that ran on one server only. Ignored if the server reports no
	 * pace.
	 * @param serverId id of the server
	 * @param meanIntervalMillis mean interval between its events, in milliseconds
	 * @param longestPauseMillis longest interval between its events, in milliseconds
	 * @param nowMillis current time in milliseconds
	 */
	public void recordStream(String serverId, double meanIntervalMillis, double longestPauseMillis, long nowMillis) {
		Entry entry = this.entries.get(serverId);
		if (entry != null) {
			entry.add(ServerWork.ofStream(serverId, meanIntervalMillis, longestPauseMillis), nowMillis);
		}
	}

	/**
	 * Returns the view of the servers of a service.
	 * @param serverIds ids of the servers
	 * @param nowMillis current time in milliseconds
	 * @return the view, empty if none of them has reported a pace recently
	 */
	public Optional<ServicePaces> ofService(List<String> serverIds, long nowMillis) {
		Map<String, ServerWork> works = new HashMap<>();
		serverIds.forEach((id) -> works.put(id, work(id, nowMillis)));
		ServerWork total = works.values().stream().reduce(ServerWork.none(""), ServerWork::plus);
		if (total.reports() == 0) {
			return Optional.empty();
		}
		double averageDurationFactor = total.durationPercentSum() / PERCENT / total.reports();
		Map<String, ServerPace> paces = new HashMap<>();
		works.forEach((id, work) -> paces.put(id, toPace(id, work, averageDurationFactor, nowMillis)));
		return Optional
			.of(new ServicePaces(averageDurationFactor, paces, normalize(works, paces, ServerWork::intervalMillisSum),
					normalize(works, paces, ServerWork::longestPauseMillisSum)));
	}

	/**
	 * Returns the average of what is known of the pace of one server.
	 * @param serverId id of the server
	 * @param nowMillis current time in milliseconds
	 * @return how long work takes, in percent of the usual duration, empty if the server
	 * has reported nothing recently
	 */
	public OptionalInt durationPercent(String serverId, long nowMillis) {
		ServerWork work = work(serverId, nowMillis);
		return (work.reports() > 0) ? OptionalInt.of((int) (work.durationPercentSum() / work.reports()))
				: OptionalInt.empty();
	}

	private ServerPace toPace(String serverId, ServerWork work, double averageDurationFactor, long nowMillis) {
		double usual = (work.durationPercentSum() / PERCENT + AVERAGE_WEIGHT_REPORTS * averageDurationFactor)
				/ (work.reports() + AVERAGE_WEIGHT_REPORTS);
		Entry entry = this.entries.get(serverId);
		if (entry == null) {
			return new ServerPace(usual, usual, work.reports(), -1);
		}
		long ageMillis = nowMillis - entry.latestMillis;
		double freshness = Math.exp(-ageMillis / CURRENT_FADE_MILLIS);
		double current = usual + freshness * (entry.latestPercent / PERCENT - usual);
		return new ServerPace(usual, current, work.reports(), ageMillis);
	}

	// What the streams of all servers show, as on a server of the usual pace.
	private static OptionalDouble normalize(Map<String, ServerWork> works, Map<String, ServerPace> paces,
			ToDoubleFunction<ServerWork> sum) {
		double streams = works.values().stream().mapToDouble(ServerWork::streams).sum();
		double normalized = works.values()
			.stream()
			.mapToDouble((work) -> sum.applyAsDouble(work) / paces.get(work.serverId()).averageDurationFactor())
			.sum();
		return (streams > 0) ? OptionalDouble.of(normalized / streams) : OptionalDouble.empty();
	}

	private ServerWork work(String serverId, long nowMillis) {
		ServerWork own = Optional.ofNullable(this.entries.get(serverId))
			.map((entry) -> entry.sum(nowMillis))
			.orElse(ServerWork.none(serverId));
		return Optional.ofNullable(this.peers.current(nowMillis).get(serverId)).map(own::plus).orElse(own);
	}

	@Override
	public PeerDigest ownDigest(long nowMillis) {
		this.entries.values().removeIf((entry) -> entry.isExpired(nowMillis));
		List<ServerWork> works = this.entries.values().stream().map((entry) -> entry.sum(nowMillis)).toList();
		return works.isEmpty() ? PeerDigest.EMPTY : new PeerDigest(works, null, null, null);
	}

	@Override
	public void onPeerDigest(PeerDigest digest, long nowMillis) {
		Map<String, ServerWork> received = new HashMap<>();
		Optional.ofNullable(digest.serverWork())
			.orElse(List.of())
			.forEach((work) -> received.put(work.serverId(), work));
		this.peers.set(received, nowMillis);
	}

	/**
	 * Observations of one server within a current and a previous window.
	 */
	private static final class Entry {

		private final ServerWork none;

		private ServerWork current;

		private ServerWork previous;

		private long windowStartMillis;

		private int latestPercent;

		private long latestMillis;

		Entry(String serverId, long nowMillis) {
			this.none = ServerWork.none(serverId);
			this.current = this.none;
			this.previous = this.none;
			this.windowStartMillis = nowMillis;
			this.latestMillis = nowMillis;
		}

		void add(ServerWork work, long nowMillis) {
			advance(nowMillis);
			this.current = this.current.plus(work);
		}

		ServerWork sum(long nowMillis) {
			advance(nowMillis);
			return this.previous.plus(this.current);
		}

		boolean isExpired(long nowMillis) {
			return sum(nowMillis).equals(this.none);
		}

		private void advance(long nowMillis) {
			long windows = (nowMillis - this.windowStartMillis) / WINDOW_MILLIS;
			if (windows <= 0) {
				return;
			}
			this.previous = (windows == 1) ? this.current : this.none;
			this.current = this.none;
			this.windowStartMillis += windows * WINDOW_MILLIS;
		}

	}

}
