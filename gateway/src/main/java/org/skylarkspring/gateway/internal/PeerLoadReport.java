package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.stream.Stream;

import org.skylarkspring.gateway.model.ServerIncarnation;
import org.skylarkspring.gateway.peer.PeerDigest;

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
 * @param digest sums that the parts of the instances exchange, {@code null} for none
 */
record PeerLoadReport(String instanceId, boolean relay, List<ServerLoad> loads, List<ServerIncarnation> draining,
		List<RateLimit> rateLimits, PeerDigest digest) {

	/** Above any number of requests that instances send to one server. */
	private static final int MAXIMUM_RUNNING = 1_000_000;

	/** Above any number of tokens on one server. */
	private static final long MAXIMUM_TOKENS = 1_000_000_000_000L;

	PeerLoadReport(String instanceId, boolean relay, List<ServerLoad> loads, List<ServerIncarnation> draining) {
		this(instanceId, relay, loads, draining, null, null);
	}

	List<RateLimit> knownRateLimits() {
		return (this.rateLimits != null) ? this.rateLimits : List.of();
	}

	PeerDigest knownDigest() {
		return (this.digest != null) ? this.digest : PeerDigest.EMPTY;
	}

	boolean hasRequiredFields() {
		return this.instanceId != null && this.loads != null && this.draining != null;
	}

	/**
	 * Returns this report without the entries that name no server or contain numbers that
	 * cannot be true, so that they do not affect the others.
	 * @return the report
	 */
	PeerLoadReport withoutInvalidEntries() {
		return new PeerLoadReport(this.instanceId, this.relay,
				this.loads.stream().filter((load) -> load != null && load.isValid()).toList(),
				this.draining.stream().filter(PeerLoadReport::isValid).toList(),
				knownRateLimits().stream().filter((limit) -> limit != null && limit.isValid()).toList(),
				PeerDigest.sum(Stream.of(knownDigest())));
	}

	private static boolean isValid(ServerIncarnation incarnation) {
		return incarnation != null && incarnation.serverId() != null;
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

		boolean isValid() {
			return this.serverId != null && isBetweenZeroAnd(MAXIMUM_RUNNING, this.running)
					&& isBetweenZeroAnd(MAXIMUM_TOKENS, this.promisedTokens)
					&& isBetweenZeroAnd(MAXIMUM_TOKENS, this.unreadTokens);
		}

		// Bounded, so that sums of many values do not overflow.
		private static boolean isBetweenZeroAnd(long maximum, long value) {
			return value >= 0 && value <= maximum;
		}

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

		boolean isValid() {
			return PeerLoadReport.isValid(this.incarnation) && Double.isFinite(this.requestsPerSecond)
					&& this.requestsPerSecond >= 0 && this.ageMillis >= 0;
		}

	}

}
