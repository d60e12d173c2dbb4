package org.skylarkspring.gateway.internal;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.skylarkspring.core.hash.RendezvousHash;
import org.skylarkspring.gateway.peer.PeerDigest;
import org.skylarkspring.gateway.policy.ClusterMember;
import org.skylarkspring.gateway.policy.RelaySelector;

/**
 * Table of the other instances with their last load reports.
 */
final class PeerTable {

	/** Time after which the loads of a peer expire if it sends no new report. */
	private static final long LOAD_TTL_MILLIS = 2_000;

	/** Time for which a relay that did not respond is skipped. */
	private static final long RELAY_BACKOFF_MILLIS = 2_000;

	private final ClusterMember self;

	private final double coldBurstAllowance;

	private final Map<String, PeerEntry> peers = new LinkedHashMap<>();

	/**
	 * Ids of the relays, {@code null} if the members have changed since the selection.
	 */
	private Set<String> relayIds;

	PeerTable(ClusterMember self, double coldBurstAllowance) {
		this.self = self;
		this.coldBurstAllowance = coldBurstAllowance;
	}

	/**
	 * Returns the number of instances, including this one.
	 * @return number of instances, at least 1
	 */
	int instanceCount() {
		return this.peers.size() + 1;
	}

	/**
	 * Adds or updates an instance listed by the platform. Ignores this instance itself.
	 * @param member the instance
	 * @param address address on which it serves its peers
	 */
	void addOrUpdate(ClusterMember member, String address) {
		if (member.instanceId().equals(this.self.instanceId())) {
			return;
		}
		PeerEntry existing = this.peers.get(member.instanceId());
		if (existing == null || !existing.address.equals(address) || !existing.member.equals(member)) {
			this.peers.put(member.instanceId(), new PeerEntry(member, address));
			this.relayIds = null;
		}
	}

	void remove(String instanceId) {
		this.peers.remove(instanceId);
		this.relayIds = null;
	}

	Set<String> instanceIds() {
		return Set.copyOf(this.peers.keySet());
	}

	private Set<String> relayIds() {
		if (this.relayIds == null) {
			this.relayIds = RelaySelector.selectRelays(
					Stream.concat(Stream.of(this.self), this.peers.values().stream().map((peer) -> peer.member))
						.toList());
		}
		return this.relayIds;
	}

	/**
	 * Returns whether this instance is a relay, which forwards load reports.
	 * @return {@code true} if it reports to all other relays, {@code false} if it reports
	 * to one relay
	 */
	boolean isRelay() {
		return relayIds().contains(this.self.instanceId());
	}

	/**
	 * Returns the relays other than this instance.
	 * @return table entries of the relays
	 */
	List<PeerEntry> otherRelays() {
		Set<String> relays = relayIds();
		return this.peers.values().stream().filter((peer) -> relays.contains(peer.member.instanceId())).toList();
	}

	/**
	 * Returns the relay to which this instance reports if it is not a relay itself.
	 * Prefers relays in the data centre of this instance.
	 * @param nowMillis current time in milliseconds
	 * @return table entry of the relay, empty if every relay is being skipped
	 */
	Optional<PeerEntry> assignedRelay(long nowMillis) {
		return otherRelays().stream()
			.filter((peer) -> nowMillis >= peer.backoffUntilMillis)
			.min(Comparator.comparing((PeerEntry peer) -> !peer.member.dataCentre().equals(this.self.dataCentre()))
				.thenComparingLong((peer) -> RendezvousHash.score(this.self.instanceId(), peer.member.instanceId())));
	}

	/**
	 * Records a load report. Ignores reports of unknown instances.
	 * @param report report of the peer
	 * @param nowMillis current time in milliseconds
	 * @return whether the loads differ from the previous report
	 */
	boolean recordReport(PeerLoadReport report, long nowMillis) {
		PeerEntry peer = this.peers.get(report.instanceId());
		if (peer == null) {
			return false;
		}
		boolean changed = !peer.loads.equals(report.loads());
		peer.loads = report.loads();
		peer.digest = report.knownDigest();
		peer.aggregated = report.relay();
		peer.lastReportMillis = nowMillis;
		return changed;
	}

	/**
	 * Records the response of a relay. Since it covers all other instances, it replaces
	 * the loads of all peers.
	 * @param report report in the response
	 * @param nowMillis current time in milliseconds
	 */
	void recordRelayReport(PeerLoadReport report, long nowMillis) {
		this.peers.values().forEach((peer) -> {
			peer.loads = List.of();
			peer.digest = PeerDigest.EMPTY;
		});
		recordReport(report, nowMillis);
	}

	/**
	 * Skips an unresponsive relay until the backoff time has elapsed.
	 * @param peer table entry of the relay
	 * @param nowMillis current time in milliseconds
	 */
	void markUnresponsive(PeerEntry peer, long nowMillis) {
		peer.backoffUntilMillis = nowMillis + RELAY_BACKOFF_MILLIS;
	}

	/**
	 * Returns the loads to forward to other relays: those of peers that report only to
	 * this instance.
	 * @param nowMillis current time in milliseconds
	 * @return loads, possibly several per server
	 */
	Stream<PeerLoadReport.ServerLoad> loadsToForward(long nowMillis) {
		return recentlyReportedPeers(nowMillis).filter((peer) -> !peer.aggregated)
			.flatMap((peer) -> peer.loads.stream());
	}

	/**
	 * Returns the loads of all peers except one.
	 * @param instanceId id of the excluded peer
	 * @param nowMillis current time in milliseconds
	 * @return loads, possibly several per server
	 */
	Stream<PeerLoadReport.ServerLoad> loadsExcluding(String instanceId, long nowMillis) {
		return recentlyReportedPeers(nowMillis).filter((peer) -> !peer.member.instanceId().equals(instanceId))
			.flatMap((peer) -> peer.loads.stream());
	}

	/**
	 * Returns the digests to forward to other relays.
	 * @param nowMillis current time in milliseconds
	 * @return digests of the peers that report only to this instance
	 */
	Stream<PeerDigest> digestsToForward(long nowMillis) {
		return recentlyReportedPeers(nowMillis).filter((peer) -> !peer.aggregated).map((peer) -> peer.digest);
	}

	/**
	 * Returns the digests of all peers except one.
	 * @param instanceId id of the excluded peer
	 * @param nowMillis current time in milliseconds
	 * @return the digests
	 */
	Stream<PeerDigest> digestsExcluding(String instanceId, long nowMillis) {
		return recentlyReportedPeers(nowMillis).filter((peer) -> !peer.member.instanceId().equals(instanceId))
			.map((peer) -> peer.digest);
	}

	/**
	 * Returns the sums over all peers.
	 * @param nowMillis current time in milliseconds
	 * @return the sums of the unexpired digests
	 */
	PeerDigest sumOfDigests(long nowMillis) {
		return PeerDigest.sum(recentlyReportedPeers(nowMillis).map((peer) -> peer.digest));
	}

	private Stream<PeerEntry> recentlyReportedPeers(long nowMillis) {
		return this.peers.values().stream().filter((peer) -> nowMillis - peer.lastReportMillis < LOAD_TTL_MILLIS);
	}

	/**
	 * Adds up the loads of each server.
	 * @param loads loads, possibly several per server
	 * @return one load per server
	 */
	static List<PeerLoadReport.ServerLoad> sumByServer(Stream<PeerLoadReport.ServerLoad> loads) {
		return List.copyOf(
				loads
					.collect(Collectors.toMap(PeerLoadReport.ServerLoad::serverId, (load) -> load,
							PeerLoadReport.ServerLoad::plus, LinkedHashMap::new))
					.values());
	}

	/**
	 * Returns how many instances may send requests to a cold server, if this instance is
	 * one of them. Each of them may send one request at any moment, so their number must
	 * not exceed the burst that the server tolerates above its rate in any second: half
	 * the rate plus the burst allowance.
	 * @param serverId id of the server
	 * @param requestsPerSecond request rate that the cold server tolerates
	 * @return number of instances that share the server, 0 if this instance is not one of
	 * them
	 */
	int coldServerSharerCount(String serverId, double requestsPerSecond) {
		return sharingInstanceCount(serverId, requestsPerSecond / 2 + this.coldBurstAllowance);
	}

	/**
	 * Returns how many instances share a server that accepts a limited rate, if this
	 * instance is one of them. All instances select the same ones.
	 * @param serverId id of the server
	 * @param maximum maximum number of instances that may share it
	 * @return number of instances that share the server, 0 if this instance is not one of
	 * them
	 */
	int sharingInstanceCount(String serverId, double maximum) {
		int maximumSharers = (int) Math.max(1, maximum);
		if (instanceCount() <= maximumSharers) {
			return instanceCount();
		}
		boolean selected = Stream.concat(Stream.of(this.self.instanceId()), this.peers.keySet().stream())
			.sorted(Comparator.comparingLong((instance) -> RendezvousHash.score(serverId, instance)))
			.limit(maximumSharers)
			.anyMatch(this.self.instanceId()::equals);
		return selected ? maximumSharers : 0;
	}

	/**
	 * Returns how many instances precede this one in an order that all instances with the
	 * same members agree on.
	 * @param key what the order is for
	 * @return the rank, 0 for the first instance
	 */
	int rank(String key) {
		long own = RendezvousHash.score(key, this.self.instanceId());
		return (int) this.peers.keySet()
			.stream()
			.filter((instance) -> RendezvousHash.score(key, instance) < own)
			.count();
	}

	/**
	 * Replaces the peer loads in the server table with the sums of the unexpired reports.
	 * @param servers server table to update
	 * @param nowMillis current time in milliseconds
	 */
	void applyLoadsTo(ServerTable servers, long nowMillis) {
		servers.all().forEach((entry) -> {
			entry.peerRunningRequests = 0;
			entry.peerReservedTokens = 0;
			entry.peerPendingPrefillTokens = 0;
		});
		recentlyReportedPeers(nowMillis).flatMap((peer) -> peer.loads.stream())
			.forEach((load) -> servers.find(load.serverId()).ifPresent((entry) -> {
				entry.peerRunningRequests += load.running();
				entry.peerReservedTokens += load.promisedTokens();
				entry.peerPendingPrefillTokens += load.unreadTokens();
			}));
	}

	/**
	 * Entry of another instance.
	 */
	static final class PeerEntry {

		final ClusterMember member;

		final String address;

		List<PeerLoadReport.ServerLoad> loads = List.of();

		PeerDigest digest = PeerDigest.EMPTY;

		/** Whether the loads may include those of other instances. */
		boolean aggregated;

		long lastReportMillis = Long.MIN_VALUE / 2;

		private long backoffUntilMillis = Long.MIN_VALUE / 2;

		PeerEntry(ClusterMember member, String address) {
			this.member = member;
			this.address = address;
		}

	}

}
