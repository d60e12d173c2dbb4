package org.skylarkspring.gateway.placement;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.RequestSemantics;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.model.WeightedService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link PlacementCostFunctions}.
 */
class PlacementCostFunctionsTests {

	private static final RouteSpec ROUTE = new RouteSpec("r", "a", "/", RequestSemantics.STREAM, 39_000, 1_800, 180, 0,
			List.of(new WeightedService("s", 1)), 1, true);

	private static final long KV_CAPACITY_TOKENS = 34_000;

	private final PlacementCostFunction costFunction = PlacementCostFunctions.leastLoaded();

	private static PlacementRequest request(long reservedTokens) {
		return new PlacementRequest(new ServiceSpec("s", 0, Optional.empty()), ROUTE, reservedTokens, reservedTokens, 0,
				10_000);
	}

	private double cost(int runningRequests, long reservedTokens, long pendingPrefillTokens, double failureRate,
			boolean sameDataCentre) {
		return this.costFunction.cost(
				new PlacementCandidate("s", sameDataCentre, runningRequests, 24, reservedTokens, pendingPrefillTokens,
						KV_CAPACITY_TOKENS, failureRate, false, false, Optional.empty()),
				request(3_500), Optional.empty());
	}

	@Nested
	class EngineLoad {

		@Test
		void prefersServerWithFreeKvCacheOverServerWithFreeSlots() {
			assertThat(cost(8, 9_000, 0, 0, true), lessThan(cost(3, 20_000, 0, 0, true)));
		}

		@Test
		void addsCostForPromptsPendingPrefill() {
			assertThat(cost(4, 14_000, 9_000, 0, true), greaterThan(cost(5, 17_000, 0, 0, true)));
		}

		@Test
		void prefersRemoteDataCentreOnlyWhenLoadDifferenceExceedsPenalty() {
			assertThat(cost(4, 18_000, 0, 0, true), lessThan(cost(4, 4_000, 0, 0, false)));
			assertThat(cost(4, 20_000, 0, 0, true), greaterThan(cost(4, 4_000, 0, 0, false)));
		}

	}

	@Nested
	class UnreachableDataCentre {

		@Test
		void ranksServerInUnreachableDataCentreBehindFullServer() {
			PlacementCandidate unreachable = new PlacementCandidate("s", false, 0, 24, 0, 0, KV_CAPACITY_TOKENS, 0,
					false, true, Optional.empty());
			assertThat(PlacementCostFunctionsTests.this.costFunction.cost(unreachable, request(0), Optional.empty()),
					greaterThan(cost(24, KV_CAPACITY_TOKENS, 0, 0, true)));
		}

	}

	@Nested
	class FailureRate {

		@Test
		void failureRateBelowToleratedRateCostsLessThanOneRunningRequest() {
			assertThat(cost(4, 0, 0, 0.2, true), lessThan(cost(5, 0, 0, 0, true)));
		}

		@Test
		void prefersLoadedServerOverServerWithHighFailureRate() {
			assertThat(cost(1, 0, 0, 0.6, true), greaterThan(cost(20, 0, 0, 0, true)));
		}

		@Test
		void ranksEjectedServerBehindFullRemoteServerWhoseRequestsAllFail() {
			PlacementCandidate ejected = new PlacementCandidate("s", true, 0, 24, 0, 0, KV_CAPACITY_TOKENS, 0, true,
					false, Optional.empty());
			assertThat(PlacementCostFunctionsTests.this.costFunction.cost(ejected, request(0), Optional.empty()),
					greaterThan(cost(24, KV_CAPACITY_TOKENS, KV_CAPACITY_TOKENS, 1, false)));
		}

	}

}
