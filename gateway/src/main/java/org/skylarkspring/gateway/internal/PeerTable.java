package org.skylarkspring.gateway.internal;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.skylarkspring.core.hash.RendezvousHash;

/**
 * Table of the other instances and what they said last.
 */
final class PeerTable {

	/** Silence after which a peer's load no longer counts. */
	private static final long LOAD_LIFETIME_MILLIS = 2_000;

	private final String instanceId;

	private final double coldExtra;

	private final Map<String, PeerEntry> peers = new LinkedHashMap<>();

	PeerTable(String instanceId, double coldExtra) {
		this.instanceId = instanceId;
		this.coldExtra = coldExtra;
	}

	Map<String, PeerEntry> all() {
		return this.peers;
	}

	/**
	 * Returns the number of instances, this one included.
	 * @return the number, at least 1
	 */
	int instances() {
		return this.peers.size() + 1;
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
		boolean chosen = Stream.concat(Stream.of(this.instanceId), this.peers.keySet().stream())
			.sorted(Comparator.comparingLong((instance) -> RendezvousHash.score(serverId, instance)))
			.limit(limit)
			.anyMatch(this.instanceId::equals);
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
		this.peers.values()
			.stream()
			.filter((peer) -> nowMillis - peer.heardMillis < LOAD_LIFETIME_MILLIS)
			.flatMap((peer) -> peer.loads.stream())
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

		final String address;

		List<PeerLoad.ServerLoad> loads = List.of();

		long heardMillis = Long.MIN_VALUE / 2;

		PeerEntry(String address) {
			this.address = address;
		}

	}

}
