package org.skylarkspring.bench.experiment;

import java.util.function.BooleanSupplier;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.model.LoadReport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests that what was acknowledged holds after all entry instances were killed at once
 * and started again with nothing but the store.
 */
class PowerLossTests {

	private static final int BOOKING_COUNT = 60;

	private static final String CONFIGURED_VERSION = "v2";

	private static final long ROLLOUT_END_MILLIS = 900_000;

	private static final long ROLLOUT_STEP_MILLIS = 200;

	private static void runUntil(Simulation simulation, BooleanSupplier condition, long endMillis) {
		long millis = simulation.clock().nowMillis();
		while (!condition.getAsBoolean() && millis < endMillis) {
			millis++;
			simulation.clock().runUntil(millis);
		}
		assertThat("condition met before " + endMillis, condition.getAsBoolean(), is(true));
	}

	@Property(seed = "29", tries = 40)
	void answeredBookingIsNotRunAgainAfterPowerLoss(@ForAll @IntRange(max = 10_000) int seed,
			@ForAll @IntRange(min = 1, max = 30) int answersBefore) {
		Simulation simulation = new Simulation(Deployment.ingendo(), PolicyVariants.standard(), seed, 0, 60_000);
		BookingHistoryChecker checker = new BookingHistoryChecker(simulation, seed, true);
		simulation.clock().runUntil(2_000);
		checker.scheduleBookings(150, BOOKING_COUNT, 3);
		runUntil(simulation, () -> checker.countCompleted() >= answersBefore, 30_000);
		checker.sendThrough(new SimulatedPowerLoss(simulation).killAndRestartAll());
		simulation.clock().runUntil(60_000);
		assertThat(checker.countDuplicateBookings(), is(0L));
		assertThat(checker.countFalseNotRunResponses(), is(0L));
		assertThat(checker.countMismatchedReplays(), is(0L));
		assertThat(checker.countCompleted(), greaterThan((long) answersBefore));
		assertThat(checker.countReplayed(), greaterThan(0L));
	}

	private static long countLoadingEngines(Simulation simulation) {
		return simulation.engines().stream().map(SimulatedEngine::currentReport).filter(LoadReport::loading).count();
	}

	private static boolean isConfiguredVersionLoadedEverywhere(Simulation simulation) {
		return simulation.engines()
			.stream()
			.map(SimulatedEngine::currentReport)
			.allMatch((report) -> report.modelVersion().equals(CONFIGURED_VERSION));
	}

	@Test
	void rolloutGoesOnWithOneServerAtATimeAfterPowerLoss() {
		Simulation simulation = new Simulation(Deployment.ingendo().withModelVersion(CONFIGURED_VERSION),
				PolicyVariants.standard(), 4, 0, ROLLOUT_END_MILLIS);
		runUntil(simulation, () -> countLoadingEngines(simulation) == 1, ROLLOUT_END_MILLIS);
		new SimulatedPowerLoss(simulation).killAndRestartAll();
		long millis = simulation.clock().nowMillis();
		while (!isConfiguredVersionLoadedEverywhere(simulation) && millis < ROLLOUT_END_MILLIS) {
			millis += ROLLOUT_STEP_MILLIS;
			simulation.clock().runUntil(millis);
			assertThat("engines loading a model at millisecond " + millis, countLoadingEngines(simulation),
					lessThanOrEqualTo(1L));
		}
		assertThat(isConfiguredVersionLoadedEverywhere(simulation), is(true));
	}

}
