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
	void retriesNeverExceedBudgetInAnyWindow(@ForAll @IntRange(min = 1, max = 12) int extra,
			@ForAll List<@IntRange(min = 0, max = 400) Integer> pauses) {
		RetryBudget budget = new RetryBudget(WINDOW_MILLIS, 0.2, extra);
		List<Long> requests = new ArrayList<>();
		List<Long> repeats = new ArrayList<>();
		long now = 0;
		for (int pause : pauses) {
			now += pause;
			budget.recordRequest(now);
			requests.add(now);
			if (budget.tryAcquireRetry(now, 1)) {
				repeats.add(now);
			}
			assertThat((double) countBetween(repeats, now - WINDOW_MILLIS, now),
					lessThanOrEqualTo(0.2 * maximumRequestsInWindows(requests, now) + extra));
		}
	}

	// The platform counts the requests of the window, of the one before it or of the one
	// half a window before it, whichever has most.
	private static long maximumRequestsInWindows(List<Long> requests, long now) {
		long half = WINDOW_MILLIS / 2;
		return IntStream.rangeClosed(0, 2)
			.mapToLong((shift) -> countBetween(requests, now - shift * half - WINDOW_MILLIS, now - shift * half))
			.max()
			.orElse(0);
	}

	private static long countBetween(List<Long> times, long from, long to) {
		return times.stream().filter((time) -> time >= from && time <= to).count();
	}

}
