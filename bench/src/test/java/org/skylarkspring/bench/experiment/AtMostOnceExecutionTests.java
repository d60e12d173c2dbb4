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
 * A keyed request runs at most once, whatever fails.
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
		Simulation world = createSimulation(seed);
		world.plainService().setFailureRatios(refusalRatio, lossRatio);
		BookingHistoryChecker history = new BookingHistoryChecker(world, seed, true);
		world.clock().runUntil(2_000);
		history.scheduleBookings(150, BOOKING_COUNT, 3);
		for (int kill = 0; kill < kills; kill++) {
			SimulatedEntryInstance victim = world.entryInstances().get(kill);
			world.clock().schedule((1_000 + kill * 2_717L) * VirtualClock.MICROS_PER_MILLI, victim::kill);
		}
		world.clock().schedule(3_000 * VirtualClock.MICROS_PER_MILLI, () -> world.store().setMode(storeMode));
		world.clock()
			.schedule(6_000 * VirtualClock.MICROS_PER_MILLI,
					() -> world.store().setMode(SimulatedStore.Mode.AVAILABLE));
		world.clock().runUntil(40_000);
		assertThat(history.countDuplicateBookings(), is(0L));
		assertThat(history.countFalseNotRunResponses(), is(0L));
		assertThat(history.countMismatchedReplays(), is(0L));
	}

	@Nested
	class WithoutClaims {

		/**
		 * The naive version: retries without a claim double, so the history check can
		 * fail.
		 */
		@Test
		void runsBookingsMoreThanOnceWhenRetriedWithoutClaims() {
			Simulation world = createSimulation(1);
			world.plainService().setFailureRatios(0, 0.3);
			BookingHistoryChecker history = new BookingHistoryChecker(world, 1, false);
			world.clock().runUntil(2_000);
			history.scheduleBookings(150, BOOKING_COUNT, 3);
			world.clock().runUntil(40_000);
			assertThat(history.countDuplicateBookings(), greaterThan(0L));
		}

	}

	@Nested
	class WithoutFaults {

		@Test
		void runsEveryBookingOnceAndReplaysItsResponseToRepeats() {
			Simulation world = createSimulation(1);
			BookingHistoryChecker history = new BookingHistoryChecker(world, 1, true);
			world.clock().runUntil(2_000);
			history.scheduleBookings(150, BOOKING_COUNT, 2);
			world.clock().runUntil(40_000);
			assertThat(history.countCompleted(), is((long) BOOKING_COUNT));
			assertThat(history.countDuplicateBookings(), is(0L));
			assertThat(history.countReplayed(), greaterThan(BOOKING_COUNT / 2L));
		}

	}

}
