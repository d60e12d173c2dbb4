package org.skylarkspring.gateway.rollout;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests whole rollouts on 1 to 300 simulated instances: too much exposure of a version
 * that is bad, requests for it after the rollback limit, and two verdicts.
 */
class RolloutPropertyTests {

	private static final int SEEDS = 6;

	private static void assertLimits(String description, RolloutSimulation simulation) {
		double limit = SimulatedInstance.BOUNDS.exposureShare() * simulation.requestsUntilLimit
				+ SimulatedInstance.BOUNDS.exposureSlack();
		assertThat(description, (double) simulation.exposed, lessThanOrEqualTo(limit));
		assertThat(description, simulation.verdicts.size(), lessThanOrEqualTo(1));
		if (simulation.fiftiethBadMillis < Long.MAX_VALUE) {
			assertThat(description, simulation.lastExposureMillis,
					lessThanOrEqualTo(simulation.fiftiethBadMillis + SimulatedInstance.BOUNDS.rollbackMillis()));
		}
	}

	@Nested
	class BadVersions {

		@ParameterizedTest
		@ValueSource(ints = { 1, 2, 9, 72, 95, 300 })
		void keepLimitsHoweverInstancesAreCutOffOrRestarted(int instances) {
			for (int seed = 0; seed < SEEDS; seed++) {
				long faultAfterMillis = seed * 2_000L;
				for (double disturbanceRate : new double[] { 0, 0.05, 0.5 }) {
					assertLimits(instances + " instances, seed " + seed + ", disturbances " + disturbanceRate,
							new RolloutSimulation(seed, instances, 400, 0.4, faultAfterMillis, disturbanceRate).run());
				}
			}
		}

		@ParameterizedTest
		@ValueSource(ints = { 1, 9, 72 })
		void areRolledBackAndFoundLongBeforeThe50thBadResponse(int instances) {
			for (int seed = 0; seed < SEEDS; seed++) {
				RolloutSimulation simulation = new RolloutSimulation(seed, instances, 400, 0.4, seed * 1_500L, 0).run();
				assertThat("seed " + seed, simulation.verdicts, contains(RolloutStage.ROLLED_BACK));
				assertThat("seed " + seed, simulation.badResponses, lessThanOrEqualTo(49L));
			}
		}

	}

	@Nested
	class UnknownVersions {

		@Test
		void versionWithoutRequestsIsNotCompleted() {
			assertThat(new RolloutSimulation(1, 9, 0, 0, 0, 0).run().verdicts, contains(RolloutStage.ROLLED_BACK));
		}

	}

	@Nested
	class GoodVersions {

		@ParameterizedTest
		@ValueSource(ints = { 1, 9, 72 })
		void areCompleted(int instances) {
			for (int seed = 0; seed < SEEDS; seed++) {
				RolloutSimulation simulation = new RolloutSimulation(seed, instances, 400, 0, 0, 0).run();
				assertThat("seed " + seed, simulation.verdicts, contains(RolloutStage.COMPLETED));
				assertThat("seed " + seed, simulation.refused, is(0L));
				assertLimits("seed " + seed, simulation);
			}
		}

		@ParameterizedTest
		@ValueSource(ints = { 2, 9, 72 })
		void getOneVerdictHoweverDecidersRaceAndFail(int instances) {
			for (int seed = 0; seed < SEEDS; seed++) {
				RolloutSimulation simulation = new RolloutSimulation(seed, instances, 200, 0, 0, 0.3).run();
				assertThat("seed " + seed, simulation.verdicts, hasSize(1));
				assertLimits("seed " + seed, simulation);
			}
		}

	}

}
