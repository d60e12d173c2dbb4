package org.skylarkspring.gateway.admission;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Capacity of the servers of a service and the load placed on it.
 *
 * @param servers the servers that the request may be sent to
 * @param takenSlots requests at all servers of the service that accept requests
 * @param totalSlots slots of these servers
 */
public record ServiceRoom(List<ServerRoom> servers, int takenSlots, int totalSlots) {

	boolean hasRoom(long tokens, double peerCertainty) {
		return this.servers.stream().anyMatch((server) -> server.hasRoom(tokens, peerCertainty));
	}

	Set<String> fullServers(long tokens, double peerCertainty) {
		return this.servers.stream()
			.filter((server) -> !server.hasRoom(tokens, peerCertainty))
			.map(ServerRoom::serverId)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns whether at least half of the slots are taken. Below, a refusal is never
	 * right.
	 * @return {@code false} if requests must not be refused
	 */
	boolean isHalfTaken() {
		return 2L * this.takenSlots >= this.totalSlots;
	}

	long capacityTokens() {
		return this.servers.stream().mapToLong(ServerRoom::capacityTokens).sum();
	}

	long largestFreeTokens(double peerCertainty) {
		return this.servers.stream()
			.filter((server) -> server.hasFreeSlot(peerCertainty))
			.mapToLong((server) -> Math.max(0, server.capacityTokens() - server.reservedTokens(peerCertainty)))
			.max()
			.orElse(0);
	}

	/**
	 * Returns whether a request that waits here gets the next room of a server, because
	 * that server has queued none.
	 * @param peerCertainty weight of the loads of other instances
	 * @return {@code false} if all engines have queued requests
	 */
	boolean hasServerWithoutQueue(double peerCertainty) {
		return this.servers.stream().anyMatch((server) -> !server.hasQueue(peerCertainty));
	}

	/**
	 * Returns the memory that has to be released on a server before the request fits, as
	 * a share of the capacity of the server where this is least.
	 * @param tokens memory that the request needs, in tokens
	 * @param peerCertainty weight of the loads of other instances
	 * @return the share, 0 if it fits
	 */
	double leastMissingShare(long tokens, double peerCertainty) {
		return this.servers.stream()
			.mapToDouble((server) -> server.missingTokens(tokens, peerCertainty)
					/ (double) Math.max(1, server.capacityTokens()))
			.min()
			.orElse(0);
	}

	/**
	 * Capacity of a server and the load placed on it.
	 *
	 * @param serverId id of the server
	 * @param slots number of requests it runs concurrently
	 * @param ownRequests requests of this instance
	 * @param peerRequests requests of the other instances
	 * @param capacityTokens capacity of the KV cache, in tokens
	 * @param ownTokens memory reserved by this instance, in tokens
	 * @param peerTokens memory reserved by the other instances, in tokens
	 */
	public record ServerRoom(String serverId, int slots, int ownRequests, int peerRequests, long capacityTokens,
			long ownTokens, long peerTokens) {

		// A request that is larger than the capacity fits an idle server.
		boolean hasRoom(long tokens, double peerCertainty) {
			boolean idle = requests(peerCertainty) < 1;
			return hasFreeSlot(peerCertainty)
					&& (idle || reservedTokens(peerCertainty) + tokens <= this.capacityTokens);
		}

		boolean hasFreeSlot(double peerCertainty) {
			return requests(peerCertainty) + 1 <= Math.max(1, this.slots);
		}

		boolean hasQueue(double peerCertainty) {
			return requests(peerCertainty) > this.slots || reservedTokens(peerCertainty) > this.capacityTokens;
		}

		long reservedTokens(double peerCertainty) {
			return this.ownTokens + (long) (peerCertainty * this.peerTokens);
		}

		// Without a free slot, the memory of one of the requests has to be released.
		long missingTokens(long tokens, double peerCertainty) {
			long missing = Math.max(0, reservedTokens(peerCertainty) + tokens - this.capacityTokens);
			return hasFreeSlot(peerCertainty) ? missing : Math.max(missing, tokens);
		}

		private double requests(double peerCertainty) {
			return this.ownRequests + peerCertainty * this.peerRequests;
		}

	}

}
