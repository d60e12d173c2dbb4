package org.skylarkspring.gateway.policy;

/**
 * The ways to rank servers.
 */
public final class PlacementCostFunctions {

	/**
	 * About two generations: an answer from another data centre is lost when the two lose
	 * each other.
	 */
	private static final double REMOTE_DATA_CENTRE_PENALTY = 0.45;

	/** Added while connections to a data centre fail, above what load adds. */
	private static final double UNREACHABLE_DATA_CENTRE_PENALTY = 10;

	/**
	 * Failures that a service's own errors explain don't count against a server.
	 */
	private static final double TOLERATED_FAILURE_RATE = 0.25;

	private static final double FAILURE_WEIGHT = 4;

	/**
	 * A prompt that waits to be read delays the next one by more than its memory counts.
	 */
	private static final double PENDING_PREFILL_WEIGHT = 1.5;

	/** Above any other cost: taken only if there is no other server. */
	private static final double EJECTED_SERVER_PENALTY = 1_000;

	private PlacementCostFunctions() {
	}

	/**
	 * Ranks by the share of memory or slots in use after placing, whichever is larger.
	 * @return the ranking
	 */
	public static PlacementCostFunction leastLoaded() {
		return (candidate, requestTokens) -> {
			double slots = (candidate.runningRequests() + 1.0) / Math.max(1, candidate.slots());
			double memory = (candidate.kvCapacityTokens() > 0)
					? (double) (candidate.reservedTokens() + requestTokens) / candidate.kvCapacityTokens() : 0;
			double unread = (candidate.kvCapacityTokens() > 0)
					? PENDING_PREFILL_WEIGHT * candidate.pendingPrefillTokens() / candidate.kvCapacityTokens() : 0;
			double failures = FAILURE_WEIGHT * Math.max(0, candidate.failureRate() - TOLERATED_FAILURE_RATE);
			return Math.max(slots, memory) + unread + failures
					+ (candidate.sameDataCentre() ? 0 : REMOTE_DATA_CENTRE_PENALTY)
					+ (candidate.dataCentreUnreachable() ? UNREACHABLE_DATA_CENTRE_PENALTY : 0)
					+ (candidate.ejected() ? EJECTED_SERVER_PENALTY : 0);
		};
	}

}
