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
 * Tests for {@link RetryContext}.
 */
class RetryContextTests {

	@Property(tries = 500, seed = "3")
	void neverRetriesNonRetryableRequestThatMayHaveRun(@ForAll boolean committed,
			@ForAll @IntRange(min = 0, max = 4) int runs, @ForAll @IntRange(min = 1, max = 6) int sends,
			@ForAll boolean budget) {
		RetryDecision step = new RetryContext(false, committed, runs, 2, sends).decide(() -> budget);
		if (runs > 0 || committed) {
			assertThat(step, not(is(RetryDecision.RETRY)));
			assertThat(step, not(is(RetryDecision.REJECT)));
		}
	}

	@Property(tries = 500, seed = "4")
	void neverRejectsRequestThatMayHaveRun(@ForAll boolean repeatable, @ForAll boolean committed,
			@ForAll @IntRange(min = 1, max = 4) int runs, @ForAll @IntRange(min = 1, max = 6) int sends,
			@ForAll boolean budget) {
		assertThat(new RetryContext(repeatable, committed, runs, 2, sends).decide(() -> budget),
				not(is(RetryDecision.REJECT)));
	}

	@Nested
	class NotExecutedRequest {

		@Test
		void retriesUntilSendLimitOrBudgetThenRejects() {
			assertThat(new RetryContext(false, false, 0, 1, 3).decide(() -> true), is(RetryDecision.RETRY));
			assertThat(new RetryContext(false, false, 0, 1, 4).decide(() -> true), is(RetryDecision.REJECT));
			assertThat(new RetryContext(false, false, 0, 1, 1).decide(() -> false), is(RetryDecision.REJECT));
		}

	}

	@Nested
	class RetryableRequest {

		@Test
		void retriesUpToMaximumExecutionsThenFailsOrClosesConnection() {
			assertThat(new RetryContext(true, false, 1, 2, 1).decide(() -> true), is(RetryDecision.RETRY));
			assertThat(new RetryContext(true, false, 2, 2, 2).decide(() -> true), is(RetryDecision.FAIL));
			assertThat(new RetryContext(true, true, 2, 2, 2).decide(() -> true), is(RetryDecision.CLOSE_CONNECTION));
		}

	}

}
