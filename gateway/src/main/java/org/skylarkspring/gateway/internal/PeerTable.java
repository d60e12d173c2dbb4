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
import org.skylarkspring.gateway.policy.Member;
import org.skylarkspring.gateway.policy.RelaySelection;

/**
 * Table of the other instances and what they said last.
 */
final class PeerTable {

	/** Silence after which a peer's load no longer counts. */
	private static final long LOAD_LIFETIME_MILLIS = 2_000;

	/** Time for which a relay that did not answer is passed over. */
	private static final long RELAY_PAUSE_MILLIS = 2_000;

	private final Member self;

	private final double coldExtra;

	private final Map<String, PeerEntry> peers = new LinkedHashMap<>();

	private Set<String> relays;

	PeerTable(Member self, double coldExtra) {
		this.self = self;
		this.coldExtra = coldExtra;
		chooseRelays();
	}

	/**
	 * Returns the number of instances, this one included.
	 * @return the number, at least 1
	 */
	int instances() {
		return this.peers.size() + 1;
	}

	/**
	 * Takes an instance that the platform lists.
	 * @param member the instance
	 * @param address its address for peers
	 */
	void put(Member member, String address) {
		if (member.instanceId().equals(this.self.instanceId())) {
			return;
		}
		PeerEntry known = this.peers.get(member.instanceId());
		if (known == null || !known.address.equals(address) || !known.member.equals(member)) {
			this.peers.put(member.instanceId(), new PeerEntry(member, address));
			chooseRelays();
		}
	}

	void remove(String instanceId) {
		this.peers.remove(instanceId);
		chooseRelays();
	}

	void retainAll(Collection<String> instanceIds) {
		this.peers.keySet().retainAll(instanceIds);
		chooseRelays();
	}

	private void chooseRelays() {
		this.relays = RelaySelection.choose(
				Stream.concat(Stream.of(this.self), this.peers.values().stream().map((peer) -> peer.member)).toList());
	}

	/**
	 * Returns whether this instance passes load on.
	 * @return {@code true} if it tells all relays, {@code false} if it tells one
	 */
	boolean relay() {
		return this.relays.contains(this.self.instanceId());
	}

	/**
	 * Returns the other instances that pass load on.
	 * @return their rows
	 */
	List<PeerEntry> otherRelays() {
		return this.peers.values().stream().filter((peer) -> this.relays.contains(peer.member.instanceId())).toList();
	}

	/**
	 * Returns the relay that an instance which is none tells: one of its data centre if
	 * any answers.
	 * @param nowMillis current time
	 * @return its row
	 */
	Optional<PeerEntry> ownRelay(long nowMillis) {
		return otherRelays().stream()
			.filter((peer) -> nowMillis >= peer.silentUntilMillis)
			.min(Comparator.comparing((PeerEntry peer) -> !peer.member.dataCentre().equals(this.self.dataCentre()))
				.thenComparingLong((peer) -> RendezvousHash.score(this.self.instanceId(), peer.member.instanceId())));
	}

	/**
	 * Takes what a peer has told.
	 * @param load the message
	 * @param nowMillis current time
	 * @return whether the load differs from what was known
	 */
	boolean told(PeerLoad load, long nowMillis) {
		PeerEntry peer = this.peers.get(load.instanceId());
		if (peer == null) {
			return false;
		}
		boolean changed = !peer.loads.equals(load.loads());
		peer.loads = load.loads();
		peer.passesOn = load.relay();
		peer.heardMillis = nowMillis;
		return changed;
	}

	/**
	 * Takes the answer of the relay, which covers all other instances.
	 * @param load the answer
	 * @param nowMillis current time
	 */
	void toldByRelay(PeerLoad load, long nowMillis) {
		this.peers.values().forEach((peer) -> peer.loads = List.of());
		told(load, nowMillis);
	}

	/**
	 * A relay has not answered.
	 * @param peer its row
	 * @param nowMillis current time
	 */
	void silent(PeerEntry peer, long nowMillis) {
		peer.silentUntilMillis = nowMillis + RELAY_PAUSE_MILLIS;
	}

	/**
	 * Returns the loads of the peers that tell this instance alone.
	 * @param nowMillis current time
	 * @return the loads, several for a server
	 */
	Stream<PeerLoad.ServerLoad> loadsToPassOn(long nowMillis) {
		return heard(nowMillis).filter((peer) -> !peer.passesOn).flatMap((peer) -> peer.loads.stream());
	}

	/**
	 * Returns the loads of all peers but one.
	 * @param instanceId name of the peer left out
	 * @param nowMillis current time
	 * @return the loads, several for a server
	 */
	Stream<PeerLoad.ServerLoad> loadsBut(String instanceId, long nowMillis) {
		return heard(nowMillis).filter((peer) -> !peer.member.instanceId().equals(instanceId))
			.flatMap((peer) -> peer.loads.stream());
	}

	private Stream<PeerEntry> heard(long nowMillis) {
		return this.peers.values().stream().filter((peer) -> nowMillis - peer.heardMillis < LOAD_LIFETIME_MILLIS);
	}

	/**
	 * Sums loads up, one for each server.
	 * @param loads the loads
	 * @return the sums
	 */
	static List<PeerLoad.ServerLoad> sum(Stream<PeerLoad.ServerLoad> loads) {
		return List.copyOf(loads.collect(Collectors.toMap(PeerLoad.ServerLoad::serverId, (load) -> load,
				PeerLoad.ServerLoad::plus, LinkedHashMap::new))
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
	int sharers(String serverId, double requestsPerSecond) {
		int limit = (int) Math.max(1, requestsPerSecond / 2 + this.coldExtra);
		if (instances() <= limit) {
			return instances();
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
	void addLoads(ServerTable servers, long nowMillis) {
		servers.all().forEach((entry) -> {
			entry.peerRunning = 0;
			entry.peerTokens = 0;
			entry.peerUnreadTokens = 0;
		});
		heard(nowMillis).flatMap((peer) -> peer.loads.stream())
			.forEach((load) -> servers.find(load.serverId()).ifPresent((entry) -> {
				entry.peerRunning += load.running();
				entry.peerTokens += load.promisedTokens();
				entry.peerUnreadTokens += load.unreadTokens();
			}));
	}

	/**
	 * Row of another instance.
	 */
	static final class PeerEntry {

		final Member member;

		final String address;

		List<PeerLoad.ServerLoad> loads = List.of();

		/** Whether the loads are those of several instances. */
		boolean passesOn;

		long heardMillis = Long.MIN_VALUE / 2;

		private long silentUntilMillis = Long.MIN_VALUE / 2;

		PeerEntry(Member member, String address) {
			this.member = member;
			this.address = address;
		}

	}

}
