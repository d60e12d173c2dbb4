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
	void neverRetriesNonRetryableRequestThatMayHaveRun(@ForAll boolean responseCommitted,
			@ForAll @IntRange(min = 0, max = 4) int possibleExecutions,
			@ForAll @IntRange(min = 1, max = 6) int sendCount, @ForAll boolean budgetAvailable) {
		RetryDecision decision = new RetryContext(false, responseCommitted, possibleExecutions, 2, sendCount)
			.decide(() -> budgetAvailable);
		if (possibleExecutions > 0 || responseCommitted) {
			assertThat(decision, not(is(RetryDecision.RETRY)));
			assertThat(decision, not(is(RetryDecision.REJECT)));
		}
	}

	@Property(tries = 500, seed = "4")
	void neverRejectsRequestThatMayHaveRun(@ForAll boolean retryable, @ForAll boolean responseCommitted,
			@ForAll @IntRange(min = 1, max = 4) int possibleExecutions,
			@ForAll @IntRange(min = 1, max = 6) int sendCount, @ForAll boolean budgetAvailable) {
		assertThat(new RetryContext(retryable, responseCommitted, possibleExecutions, 2, sendCount)
			.decide(() -> budgetAvailable), not(is(RetryDecision.REJECT)));
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
