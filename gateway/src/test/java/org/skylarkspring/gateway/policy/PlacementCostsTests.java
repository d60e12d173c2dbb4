package org.skylarkspring.gateway.policy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link PlacementCosts}.
 */
class PlacementCostsTests {

	private static final long MEMORY = 34_000;

	private final PlacementCost cost = PlacementCosts.leastLoaded();

	private double cost(int running, long promised, long unread, double failures, boolean same) {
		return this.cost.cost(new Candidate("s", same, running, 24, promised, unread, MEMORY, failures, false, false),
				3_500);
	}

	@Nested
	class Engines {

		@Test
		void prefersFreeMemoryOverFreeSlots() {
			assertThat(cost(8, 9_000, 0, 0, true), lessThan(cost(3, 20_000, 0, 0, true)));
		}

		@Test
		void countsPromptsThatWaitToBeRead() {
			assertThat(cost(4, 14_000, 9_000, 0, true), greaterThan(cost(5, 17_000, 0, 0, true)));
		}

		@Test
		void leavesTheDataCentreOnlyForLessThanHalfTheLoad() {
			assertThat(cost(4, 18_000, 0, 0, true), lessThan(cost(4, 4_000, 0, 0, false)));
			assertThat(cost(4, 20_000, 0, 0, true), greaterThan(cost(4, 4_000, 0, 0, false)));
		}

	}

	@Nested
	class DataCentres {

		@Test
		void thatCannotBeReachedComeLast() {
			Candidate unreached = new Candidate("s", false, 0, 24, 0, 0, MEMORY, 0, false, true);
			assertThat(PlacementCostsTests.this.cost.cost(unreached, 0), greaterThan(cost(24, MEMORY, 0, 0, true)));
		}

	}

	@Nested
	class Failures {

		@Test
		void toleratesUsualErrorsOfAService() {
			assertThat(cost(4, 0, 0, 0.2, true), lessThan(cost(5, 0, 0, 0, true)));
		}

		@Test
		void avoidsAServerThatFailsOften() {
			assertThat(cost(1, 0, 0, 0.6, true), greaterThan(cost(20, 0, 0, 0, true)));
		}

		@Test
		void takesASuspendedServerOnlyIfThereIsNoOther() {
			Candidate suspended = new Candidate("s", true, 0, 24, 0, 0, MEMORY, 0, true, false);
			assertThat(PlacementCostsTests.this.cost.cost(suspended, 0),
					greaterThan(cost(24, MEMORY, MEMORY, 1, false)));
		}

	}

}
