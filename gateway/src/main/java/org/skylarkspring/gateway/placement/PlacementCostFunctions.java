package org.skylarkspring.gateway.placement;

/**
 * Available placement cost functions.
 */
public final class PlacementCostFunctions {

	/**
	 * About the load of two generations. A server in another data centre is avoided
	 * because its response is lost if the two data centres become disconnected.
	 */
	private static final double REMOTE_DATA_CENTRE_PENALTY = 0.45;

	/** Added while connections to a data centre fail; exceeds the cost of load. */
	private static final double UNREACHABLE_DATA_CENTRE_PENALTY = 10;

	/**
	 * Failure rate that is attributed to errors of the service rather than of a server;
	 * only failures above it add to the cost.
	 */
	private static final double TOLERATED_FAILURE_RATE = 0.25;

	private static final double FAILURE_WEIGHT = 4;

	/**
	 * Above 1, because a prompt that awaits prefill delays the next request by more than
	 * its share of the KV cache suggests.
	 */
	private static final double PENDING_PREFILL_WEIGHT = 1.5;

	/** Above any other cost, so an ejected server is used only if there is no other. */
	private static final double EJECTED_SERVER_PENALTY = 1_000;

	private PlacementCostFunctions() {
	}

	/**
	 * Returns a cost that adds what the pace of the server means for the response, where
	 * servers report their pace, and is {@link #leastLoaded} elsewhere.
	 * @return the cost function
	 */
	public static PlacementCostFunction paceAware() {
		PlacementCostFunction leastLoaded = leastLoaded();
		return (candidate, request, paces) -> paces
			.map((service) -> loadCost(candidate, request.reservedTokens()) + candidate.remoteDataCentre()
				.map((remoteDataCentre) -> CrossDataCentreCost.of(remoteDataCentre, request))
				.orElse(0.0) + PaceAwareCost.of(candidate, service, request))
			.orElseGet(() -> leastLoaded.cost(candidate, request, paces));
	}

	/**
	 * Returns a cost based on the share of the KV cache or slots in use after placement,
	 * whichever is larger, with penalties for pending prompts, failures, ejection and
	 * remote or unreachable data centres.
	 * @return the cost function
	 */
	public static PlacementCostFunction leastLoaded() {
		return (candidate, request, paces) -> loadCost(candidate, request.reservedTokens())
				+ (candidate.sameDataCentre() ? 0 : REMOTE_DATA_CENTRE_PENALTY);
	}

	private static double loadCost(PlacementCandidate candidate, long requestTokens) {
		double slots = (candidate.runningRequests() + 1.0) / Math.max(1, candidate.slots());
		double kvCache = (candidate.kvCapacityTokens() > 0)
				? (double) (candidate.reservedTokens() + requestTokens) / candidate.kvCapacityTokens() : 0;
		double pendingPrefill = (candidate.kvCapacityTokens() > 0)
				? PENDING_PREFILL_WEIGHT * candidate.pendingPrefillTokens() / candidate.kvCapacityTokens() : 0;
		double failures = FAILURE_WEIGHT * Math.max(0, candidate.failureRate() - TOLERATED_FAILURE_RATE);
		return Math.max(slots, kvCache) + pendingPrefill + failures
				+ (candidate.dataCentreUnreachable() ? UNREACHABLE_DATA_CENTRE_PENALTY : 0)
				+ (candidate.ejected() ? EJECTED_SERVER_PENALTY : 0);
	}

}
