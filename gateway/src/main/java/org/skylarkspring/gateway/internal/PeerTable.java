package org.skylarkspring.gateway.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.skylarkspring.core.hash.RendezvousHash;
import org.skylarkspring.gateway.policy.ClusterMember;
import org.skylarkspring.gateway.policy.RelaySelector;

/**
 * Table of the other instances and what they said last.
 */
final class PeerTable {

	/** Silence after which a peer's load no longer counts. */
	private static final long LOAD_TTL_MILLIS = 2_000;

	/** Time for which a relay that did not answer is passed over. */
	private static final long RELAY_BACKOFF_MILLIS = 2_000;

	private final ClusterMember self;

	private final double coldBurstAllowance;

	private final Map<String, PeerEntry> peers = new LinkedHashMap<>();

	private Set<String> relayIds;

	PeerTable(ClusterMember self, double coldBurstAllowance) {
		this.self = self;
		this.coldBurstAllowance = coldBurstAllowance;
		selectRelays();
	}

	/**
	 * Returns the number of instances, this one included.
	 * @return the number, at least 1
	 */
	int instanceCount() {
		return this.peers.size() + 1;
	}

	/**
	 * Takes an instance that the platform lists.
	 * @param member the instance
	 * @param address its address for peers
	 */
	void put(ClusterMember member, String address) {
		if (member.instanceId().equals(this.self.instanceId())) {
			return;
		}
		PeerEntry known = this.peers.get(member.instanceId());
		if (known == null || !known.address.equals(address) || !known.member.equals(member)) {
			this.peers.put(member.instanceId(), new PeerEntry(member, address));
			selectRelays();
		}
	}

	void remove(String instanceId) {
		this.peers.remove(instanceId);
		selectRelays();
	}

	void retainAll(Collection<String> instanceIds) {
		this.peers.keySet().retainAll(instanceIds);
		selectRelays();
	}

	private void selectRelays() {
		this.relayIds = RelaySelector.selectRelays(
				Stream.concat(Stream.of(this.self), this.peers.values().stream().map((peer) -> peer.member)).toList());
	}

	/**
	 * Returns whether this instance passes load on.
	 * @return {@code true} if it tells all relays, {@code false} if it tells one
	 */
	boolean isRelay() {
		return this.relayIds.contains(this.self.instanceId());
	}

	/**
	 * Returns the other instances that pass load on.
	 * @return their rows
	 */
	List<PeerEntry> otherRelays() {
		return this.peers.values().stream().filter((peer) -> this.relayIds.contains(peer.member.instanceId())).toList();
	}

	/**
	 * Returns the relay that an instance which is none tells: one of its data centre if
	 * any answers.
	 * @param nowMillis current time
	 * @return its row
	 */
	Optional<PeerEntry> assignedRelay(long nowMillis) {
		return otherRelays().stream()
			.filter((peer) -> nowMillis >= peer.backoffUntilMillis)
			.min(Comparator.comparing((PeerEntry peer) -> !peer.member.dataCentre().equals(this.self.dataCentre()))
				.thenComparingLong((peer) -> RendezvousHash.score(this.self.instanceId(), peer.member.instanceId())));
	}

	/**
	 * Takes what a peer has told.
	 * @param load the message
	 * @param nowMillis current time
	 * @return whether the load differs from what was known
	 */
	boolean recordReport(PeerLoadReport load, long nowMillis) {
		PeerEntry peer = this.peers.get(load.instanceId());
		if (peer == null) {
			return false;
		}
		boolean changed = !peer.loads.equals(load.loads());
		peer.loads = load.loads();
		peer.aggregated = load.relay();
		peer.lastReportMillis = nowMillis;
		return changed;
	}

	/**
	 * Takes the answer of the relay, which covers all other instances.
	 * @param load the answer
	 * @param nowMillis current time
	 */
	void recordRelayReport(PeerLoadReport load, long nowMillis) {
		this.peers.values().forEach((peer) -> peer.loads = List.of());
		recordReport(load, nowMillis);
	}

	/**
	 * A relay has not answered.
	 * @param peer its row
	 * @param nowMillis current time
	 */
	void markUnresponsive(PeerEntry peer, long nowMillis) {
		peer.backoffUntilMillis = nowMillis + RELAY_BACKOFF_MILLIS;
	}

	/**
	 * Returns the loads of the peers that tell this instance alone.
	 * @param nowMillis current time
	 * @return the loads, several for a server
	 */
	Stream<PeerLoadReport.ServerLoad> loadsToForward(long nowMillis) {
		return recentlyReportedPeers(nowMillis).filter((peer) -> !peer.aggregated)
			.flatMap((peer) -> peer.loads.stream());
	}

	/**
	 * Returns the loads of all peers but one.
	 * @param instanceId name of the peer left out
	 * @param nowMillis current time
	 * @return the loads, several for a server
	 */
	Stream<PeerLoadReport.ServerLoad> loadsExcluding(String instanceId, long nowMillis) {
		return recentlyReportedPeers(nowMillis).filter((peer) -> !peer.member.instanceId().equals(instanceId))
			.flatMap((peer) -> peer.loads.stream());
	}

	private Stream<PeerEntry> recentlyReportedPeers(long nowMillis) {
		return this.peers.values().stream().filter((peer) -> nowMillis - peer.lastReportMillis < LOAD_TTL_MILLIS);
	}

	/**
	 * Sums loads up, one for each server.
	 * @param loads the loads
	 * @return the sums
	 */
	static List<PeerLoadReport.ServerLoad> sumByServer(Stream<PeerLoadReport.ServerLoad> loads) {
		return List.copyOf(
				loads
					.collect(Collectors.toMap(PeerLoadReport.ServerLoad::serverId, (load) -> load,
							PeerLoadReport.ServerLoad::plus, LinkedHashMap::new))
					.values());
	}

	/**
	 * Returns how many instances share a cold server, if this one does. Each may send one
	 * request at any moment, so their number must fit into what the server bears beyond
	 * its rate.
	 * @param serverId name of the server
	 * @param requestsPerSecond rate the server bears
	 * @return number of sharers, 0 if this instance isn't one
	 */
	int coldServerSharerCount(String serverId, double requestsPerSecond) {
		int limit = (int) Math.max(1, requestsPerSecond / 2 + this.coldBurstAllowance);
		if (instanceCount() <= limit) {
			return instanceCount();
		}
		boolean chosen = Stream.concat(Stream.of(this.self.instanceId()), this.peers.keySet().stream())
			.sorted(Comparator.comparingLong((instance) -> RendezvousHash.score(serverId, instance)))
			.limit(limit)
			.anyMatch(this.self.instanceId()::equals);
		return chosen ? limit : 0;
	}

	/**
	 * Adds the load that peers have placed to the rows of the servers.
	 * @param servers the servers
	 * @param nowMillis current time
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
	 * Row of another instance.
	 */
	static final class PeerEntry {

		final ClusterMember member;

		final String address;

		List<PeerLoadReport.ServerLoad> loads = List.of();

		/** Whether the loads are those of several instances. */
		boolean aggregated;

		long lastReportMillis = Long.MIN_VALUE / 2;

		private long backoffUntilMillis = Long.MIN_VALUE / 2;

		PeerEntry(ClusterMember member, String address) {
			this.member = member;
			this.address = address;
		}

	}

}
