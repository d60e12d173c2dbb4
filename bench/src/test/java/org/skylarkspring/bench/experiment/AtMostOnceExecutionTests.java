package org.skylarkspring.bench.experiment;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * A request with an idempotency key runs at most once, even if calls are refused,
 * responses are lost, entry instances are killed or the store fails.
 */
class AtMostOnceExecutionTests {

	private static final int BOOKING_COUNT = 60;

	private static Simulation createSimulation(long seed) {
		return new Simulation(Deployment.ingendo(), PolicyVariants.standard(), seed, 0, 60_000);
	}

	@Property(seed = "17", tries = 60)
	void runsEachBookingAtMostOnceAndNeverReportsFalseNotRunUnderFaults(@ForAll @IntRange(max = 10_000) int seed,
			@ForAll @DoubleRange(max = 0.6) double refusalRatio, @ForAll @DoubleRange(max = 0.6) double lossRatio,
			@ForAll SimulatedStore.Mode storeMode, @ForAll @IntRange(max = 3) int kills) {
		Simulation simulation = createSimulation(seed);
		simulation.plainService().setFailureRatios(refusalRatio, lossRatio);
		BookingHistoryChecker checker = new BookingHistoryChecker(simulation, seed, true);
		simulation.clock().runUntil(2_000);
		checker.scheduleBookings(150, BOOKING_COUNT, 3);
		for (int kill = 0; kill < kills; kill++) {
			SimulatedEntryInstance entry = simulation.entryInstances().get(kill);
			simulation.clock().schedule((1_000 + kill * 2_717L) * VirtualClock.MICROS_PER_MILLI, entry::kill);
		}
		simulation.clock().schedule(3_000 * VirtualClock.MICROS_PER_MILLI, () -> simulation.store().setMode(storeMode));
		simulation.clock()
			.schedule(6_000 * VirtualClock.MICROS_PER_MILLI,
					() -> simulation.store().setMode(SimulatedStore.Mode.AVAILABLE));
		simulation.clock().runUntil(40_000);
		assertThat(checker.countDuplicateBookings(), is(0L));
		assertThat(checker.countFalseNotRunResponses(), is(0L));
		assertThat(checker.countMismatchedReplays(), is(0L));
	}

	@Nested
	class WithoutClaims {

		/**
		 * Retries without a claim run bookings more than once, which shows that the
		 * checker detects duplicates.
		 */
		@Test
		void runsBookingsMoreThanOnceWhenRetriedWithoutClaims() {
			Simulation simulation = createSimulation(1);
			simulation.plainService().setFailureRatios(0, 0.3);
			BookingHistoryChecker checker = new BookingHistoryChecker(simulation, 1, false);
			simulation.clock().runUntil(2_000);
			checker.scheduleBookings(150, BOOKING_COUNT, 3);
			simulation.clock().runUntil(40_000);
			assertThat(checker.countDuplicateBookings(), greaterThan(0L));
		}

	}

	@Nested
	class WithoutFaults {

		@Test
		void runsEveryBookingOnceAndReplaysResponsesToMostRepeats() {
			Simulation simulation = createSimulation(1);
			BookingHistoryChecker checker = new BookingHistoryChecker(simulation, 1, true);
			simulation.clock().runUntil(2_000);
			checker.scheduleBookings(150, BOOKING_COUNT, 2);
			simulation.clock().runUntil(40_000);
			assertThat(checker.countCompleted(), is((long) BOOKING_COUNT));
			assertThat(checker.countDuplicateBookings(), is(0L));
			assertThat(checker.countReplayed(), greaterThan(BOOKING_COUNT / 2L));
		}

	}

}
