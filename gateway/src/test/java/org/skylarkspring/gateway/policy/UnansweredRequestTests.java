package org.skylarkspring.gateway.policy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link UnansweredRequest}.
 */
class UnansweredRequestTests {

	@Property(tries = 500, seed = "3")
	void neverRepeatsWhatMayHaveRunAndMustNotAgain(@ForAll boolean committed,
			@ForAll @IntRange(min = 0, max = 4) int runs, @ForAll @IntRange(min = 1, max = 6) int sends,
			@ForAll boolean budget) {
		NextStep step = new UnansweredRequest(false, committed, runs, 2, sends).next(() -> budget);
		if (runs > 0 || committed) {
			assertThat(step, not(is(NextStep.PLACE_AGAIN)));
			assertThat(step, not(is(NextStep.REFUSE)));
		}
	}

	@Property(tries = 500, seed = "4")
	void neverRefusesWhatMayHaveRun(@ForAll boolean repeatable, @ForAll boolean committed,
			@ForAll @IntRange(min = 1, max = 4) int runs, @ForAll @IntRange(min = 1, max = 6) int sends,
			@ForAll boolean budget) {
		assertThat(new UnansweredRequest(repeatable, committed, runs, 2, sends).next(() -> budget),
				not(is(NextStep.REFUSE)));
	}

	@Nested
	class NotRun {

		@Test
		void isPlacedAgainAFewTimesAndThenRefused() {
			assertThat(new UnansweredRequest(false, false, 0, 1, 3).next(() -> true), is(NextStep.PLACE_AGAIN));
			assertThat(new UnansweredRequest(false, false, 0, 1, 4).next(() -> true), is(NextStep.REFUSE));
			assertThat(new UnansweredRequest(false, false, 0, 1, 1).next(() -> false), is(NextStep.REFUSE));
		}

	}

	@Nested
	class Repeatable {

		@Test
		void runsOnAsManyServersAsItsRouteAllows() {
			assertThat(new UnansweredRequest(true, false, 1, 2, 1).next(() -> true), is(NextStep.PLACE_AGAIN));
			assertThat(new UnansweredRequest(true, false, 2, 2, 2).next(() -> true), is(NextStep.FAIL));
			assertThat(new UnansweredRequest(true, true, 2, 2, 2).next(() -> true), is(NextStep.CUT));
		}

	}

}
