package org.skylarkspring.gateway.internal;

import java.util.List;

import org.skylarkspring.gateway.model.ServerIncarnation;

/**
 * Report of the load that instances have placed on the backend servers, sent between
 * instances.
 *
 * @param instanceId id of the reporting instance
 * @param relay whether the reporting instance is a relay, so that the loads may include
 * those of other instances
 * @param loads load placed on each server
 * @param draining incarnations of the servers that are listed as draining
 * @param rateLimits request rates that servers accept from all instances together,
 * {@code null} in reports of earlier versions
 */
record PeerLoadReport(String instanceId, boolean relay, List<ServerLoad> loads, List<ServerIncarnation> draining,
		List<RateLimit> rateLimits) {

	PeerLoadReport(String instanceId, boolean relay, List<ServerLoad> loads, List<ServerIncarnation> draining) {
		this(instanceId, relay, loads, draining, null);
	}

	List<RateLimit> knownRateLimits() {
		return (this.rateLimits != null) ? this.rateLimits : List.of();
	}

	boolean hasRequiredFields() {
		return this.instanceId != null && this.loads != null && this.draining != null
				&& knownRateLimits().stream().allMatch((limit) -> limit.incarnation() != null);
	}

	/**
	 * Load placed on a server.
	 *
	 * @param serverId id of the server
	 * @param running number of running requests
	 * @param promisedTokens KV cache reserved for these requests, in tokens
	 * @param unreadTokens prompt tokens for which the server may not have completed the
	 * prefill yet
	 */
	record ServerLoad(String serverId, int running, long promisedTokens, long unreadTokens) {

		ServerLoad plus(ServerLoad other) {
			return new ServerLoad(this.serverId, this.running + other.running,
					this.promisedTokens + other.promisedTokens, this.unreadTokens + other.unreadTokens);
		}

	}

	/**
	 * Request rate that a server accepts from all instances together.
	 *
	 * @param incarnation the server
	 * @param requestsPerSecond the rate, 0 if the server names no limit any more
	 * @param ageMillis time since the response that said so, in milliseconds
	 */
	record RateLimit(ServerIncarnation incarnation, double requestsPerSecond, long ageMillis) {
	}

}
