package org.skylarkspring.gateway.placement;

import org.skylarkspring.gateway.pace.ServerPace;
import org.skylarkspring.gateway.pace.ServicePaces;

/**
 * What the pace of a server adds to its placement cost. A long generation on a slow
 * server exceeds the target interval of its route sooner or later, while a short one is
 * in time on any server.
 */
final class PaceAwareCost {

	/** Cost of a response that is certainly late, in loads of a server. */
	private static final double LATE_RESPONSE_COST = 4;

	/** Number of output tokens at which half of the risk of a late stream counts. */
	private static final double HALF_RISK_OUTPUT_TOKENS = 100;

	/**
	 * Expected longest pause, as a share of the target interval, up to which a stream is
	 * in time even if its longest pause is longer than expected.
	 */
	private static final double SAFE_PAUSE_SHARE = 0.35;

	/** Share of the target interval from which on a stream is certainly late. */
	private static final double LATE_PAUSE_SHARE = 0.9;

	/** KV cache utilization above which requests may be preempted. */
	private static final double PREEMPTION_UTILIZATION = 0.92;

	private static final double PREEMPTION_WEIGHT = 25;

	/**
	 * Risk that the prefill of a prompt makes a stream late that already runs on a server
	 * on which pauses are long.
	 */
	private static final double PREFILL_INTERFERENCE = 0.2;

	private PaceAwareCost() {
	}

	/**
	 * Returns the part of the cost that the pace of the server adds to its load.
	 * @param candidate the server
	 * @param service paces of the service
	 * @param request the request
	 * @return the cost in loads of a server
	 */
	static double of(PlacementCandidate candidate, ServicePaces service, PlacementRequest request) {
		ServerPace pace = service.servers().get(candidate.serverId());
		double relative = pace.currentDurationFactor() / service.averageDurationFactor();
		double queue = (relative - 1) * candidate.runningRequests() / Math.max(1, candidate.slots());
		return queue + preemption(candidate, request) + pauses(candidate, pace, service, request);
	}

	private static double pauses(PlacementCandidate candidate, ServerPace pace, ServicePaces service,
			PlacementRequest request) {
		long targetMillis = request.route().targetEventIntervalMillis();
		double outputTokens = Math.max(0, request.reservedTokens() - request.promptTokens());
		if (targetMillis <= 0 || outputTokens == 0) {
			return 0;
		}
		double exposure = outputTokens / (outputTokens + HALF_RISK_OUTPUT_TOKENS);
		return lateShare(pace, service, targetMillis)
				* (LATE_RESPONSE_COST * exposure + PREFILL_INTERFERENCE * candidate.runningRequests());
	}

	private static double lateShare(ServerPace pace, ServicePaces service, long targetMillis) {
		double share = service.longestPauseMillis().isPresent()
				? service.longestPauseMillis().getAsDouble() * pace.averageDurationFactor() / targetMillis
				: pace.averageDurationFactor() / service.averageDurationFactor();
		return Math.max(0, Math.min(1, (share - SAFE_PAUSE_SHARE) / (LATE_PAUSE_SHARE - SAFE_PAUSE_SHARE)));
	}

	private static double preemption(PlacementCandidate candidate, PlacementRequest request) {
		if (candidate.kvCapacityTokens() == 0) {
			return 0;
		}
		double utilization = (double) (candidate.reservedTokens() + request.reservedTokens())
				/ candidate.kvCapacityTokens();
		return PREEMPTION_WEIGHT * Math.max(0, utilization - PREEMPTION_UTILIZATION);
	}

}
