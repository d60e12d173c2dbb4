package org.skylarkspring.gateway.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link RetryBudget}.
 */
class RetryBudgetTests {

	private static final long WINDOW_MILLIS = 10_000;

	@Test
	void dividesFixedRetriesAmongInstances() {
		RetryBudget budget = new RetryBudget(WINDOW_MILLIS, 0, 6);
		assertThat(budget.tryAcquireRetry(0, 3), is(true));
		assertThat(budget.tryAcquireRetry(1, 3), is(true));
		assertThat(budget.tryAcquireRetry(2, 3), is(false));
	}

	@Test
	void allowsRetryAgainAfterEarlierRetryLeavesWindow() {
		RetryBudget budget = new RetryBudget(WINDOW_MILLIS, 0, 1);
		assertThat(budget.tryAcquireRetry(0, 1), is(true));
		assertThat(budget.tryAcquireRetry(WINDOW_MILLIS, 1), is(false));
		assertThat(budget.tryAcquireRetry(WINDOW_MILLIS + 1, 1), is(true));
	}

	@Test
	void evictsTimestampsOutsideWindow() {
		RetryBudget budget = new RetryBudget(WINDOW_MILLIS, 0.2, 6);
		for (long now = 0; now < 20 * WINDOW_MILLIS; now += 10) {
			budget.recordRequest(now);
		}
		assertThat((long) budget.trackedCount(), lessThanOrEqualTo(WINDOW_MILLIS / 10));
	}

	@Property(tries = 200, seed = "7")
	void retriesNeverExceedBudgetInAnyWindow(@ForAll @IntRange(min = 1, max = 12) int fixedRetries,
			@ForAll List<@IntRange(min = 0, max = 400) Integer> intervals) {
		RetryBudget budget = new RetryBudget(WINDOW_MILLIS, 0.2, fixedRetries);
		List<Long> requestTimes = new ArrayList<>();
		List<Long> retryTimes = new ArrayList<>();
		long now = 0;
		for (int interval : intervals) {
			now += interval;
			budget.recordRequest(now);
			requestTimes.add(now);
			if (budget.tryAcquireRetry(now, 1)) {
				retryTimes.add(now);
			}
			assertThat((double) countBetween(retryTimes, now - WINDOW_MILLIS, now),
					lessThanOrEqualTo(0.2 * maximumRequestsInWindows(requestTimes, now) + fixedRetries));
		}
	}

	// The platform uses the largest of three request counts: of the window, of the one
	// before it and of the one half a window before it.
	private static long maximumRequestsInWindows(List<Long> requestTimes, long now) {
		long halfWindowMillis = WINDOW_MILLIS / 2;
		return IntStream.rangeClosed(0, 2)
			.mapToLong((shift) -> countBetween(requestTimes, now - shift * halfWindowMillis - WINDOW_MILLIS,
					now - shift * halfWindowMillis))
			.max()
			.orElse(0);
	}

	private static long countBetween(List<Long> times, long from, long to) {
		return times.stream().filter((time) -> time >= from && time <= to).count();
	}

}
