package org.skylarkspring.gateway.rollout;

import org.skylarkspring.gateway.peer.DigestEntry;

/**
 * Outcomes of the requests of one route on the new or the old servers of a rollout within
 * one window of time.
 *
 * @param key rollout, target, window, whether the servers are new, and route
 * @param requests number of requests with an outcome
 * @param failures number of these that failed
 * @param slow number of these that took several times as long as usual on the route
 */
public record VersionOutcomes(String key, long requests, long failures,
		long slow) implements DigestEntry<VersionOutcomes> {

	/** Above any number of requests during a rollout. */
	private static final long MAXIMUM_REQUESTS = 1_000_000_000;

	@Override
	public VersionOutcomes plus(VersionOutcomes other) {
		return new VersionOutcomes(this.key, this.requests + other.requests, this.failures + other.failures,
				this.slow + other.slow);
	}

	@Override
	public boolean isValid() {
		return isCount(this.requests) && isCount(this.failures) && isCount(this.slow);
	}

	private static boolean isCount(long value) {
		return value >= 0 && value <= MAXIMUM_REQUESTS;
	}

}
