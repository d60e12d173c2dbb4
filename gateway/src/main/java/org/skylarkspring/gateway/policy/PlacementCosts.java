package org.skylarkspring.gateway.policy;

/**
 * The ways to rank servers.
 */
public final class PlacementCosts {

	/**
	 * About two generations: an answer from another data centre is lost when the two lose
	 * each other.
	 */
	private static final double OTHER_DATA_CENTRE = 0.45;

	/** Added while connections to a data centre fail, above what load adds. */
	private static final double UNREACHED_DATA_CENTRE = 10;

	/**
	 * Failures that a service's own errors explain don't count against a server.
	 */
	private static final double USUAL_FAILURE_RATE = 0.25;

	private static final double FAILURE_WEIGHT = 4;

	/**
	 * A prompt that waits to be read delays the next one by more than its memory counts.
	 */
	private static final double UNREAD_WEIGHT = 1.5;

	/** Above any other cost: taken only if there is no other server. */
	private static final double SUSPENDED = 1_000;

	private PlacementCosts() {
	}

	/**
	 * Ranks by the share of memory or slots in use after placing, whichever is larger.
	 * @return the ranking
	 */
	public static PlacementCost leastLoaded() {
		return (candidate, requestTokens) -> {
			double slots = (candidate.running() + 1.0) / Math.max(1, candidate.slots());
			double memory = (candidate.memoryTokens() > 0)
					? (double) (candidate.promisedTokens() + requestTokens) / candidate.memoryTokens() : 0;
			double unread = (candidate.memoryTokens() > 0)
					? UNREAD_WEIGHT * candidate.unreadTokens() / candidate.memoryTokens() : 0;
			double failures = FAILURE_WEIGHT * Math.max(0, candidate.failureRate() - USUAL_FAILURE_RATE);
			return Math.max(slots, memory) + unread + failures + (candidate.sameDataCentre() ? 0 : OTHER_DATA_CENTRE)
					+ (candidate.unreached() ? UNREACHED_DATA_CENTRE : 0) + (candidate.suspended() ? SUSPENDED : 0);
		};
	}

}
