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
class AtMostOnceTests {

	private static final int BOOKINGS = 60;

	private static World world(long seed) {
		return new World(Deployment.ingendo(), Variants.standard(), seed, 0, 60_000);
	}

	@Property(seed = "17", tries = 60)
	void neverDoublesNorTellsAFalseNotRun(@ForAll @IntRange(max = 10_000) int seed,
			@ForAll @DoubleRange(max = 0.6) double refusalRatio, @ForAll @DoubleRange(max = 0.6) double lossRatio,
			@ForAll StoreActor.Mode storeMode, @ForAll @IntRange(max = 3) int kills) {
		World world = world(seed);
		world.plain().faults(refusalRatio, lossRatio);
		BookingHistory history = new BookingHistory(world, seed, true);
		world.time().runUntil(2_000);
		history.bookEvery(150, BOOKINGS, 3);
		for (int kill = 0; kill < kills; kill++) {
			EntryActor victim = world.entries().get(kill);
			world.time().after((1_000 + kill * 2_717L) * VirtualTime.MILLI, victim::kill);
		}
		world.time().after(3_000 * VirtualTime.MILLI, () -> world.store().mode(storeMode));
		world.time().after(6_000 * VirtualTime.MILLI, () -> world.store().mode(StoreActor.Mode.SOUND));
		world.time().runUntil(40_000);
		assertThat(history.doubled(), is(0L));
		assertThat(history.falseRefusals(), is(0L));
		assertThat(history.crossed(), is(0L));
	}

	@Nested
	class WithoutClaims {

		/**
		 * The naive version: retries without a claim double, so the history check can
		 * fail.
		 */
		@Test
		void doubles() {
			World world = world(1);
			world.plain().faults(0, 0.3);
			BookingHistory history = new BookingHistory(world, 1, false);
			world.time().runUntil(2_000);
			history.bookEvery(150, BOOKINGS, 3);
			world.time().runUntil(40_000);
			assertThat(history.doubled(), greaterThan(0L));
		}

	}

	@Nested
	class WithoutFaults {

		@Test
		void everyBookingRunsAndRepeatsGetItsAnswer() {
			World world = world(1);
			BookingHistory history = new BookingHistory(world, 1, true);
			world.time().runUntil(2_000);
			history.bookEvery(150, BOOKINGS, 2);
			world.time().runUntil(40_000);
			assertThat(history.completed(), is((long) BOOKINGS));
			assertThat(history.doubled(), is(0L));
			assertThat(history.replayed(), greaterThan(BOOKINGS / 2L));
		}

	}

}
