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
 * Tests for {@link ColdServerRateLimiter}.
 */
class ColdServerRateLimiterTests {

	private static final long SECOND_MILLIS = 1_000;

	@Test
	void allowsOneRequestAtStartThenRefillsAtSharedRate() {
		ColdServerRateLimiter limiter = new ColdServerRateLimiter();
		assertThat(limiter.tryAcquire(0, 40, 4), is(true));
		assertThat(limiter.tryAcquire(0, 40, 4), is(false));
		assertThat(limiter.tryAcquire(100, 40, 4), is(true));
	}

	// The platform accepts at most 1.5 times the rate plus 5 requests in any second.
	@Property(tries = 100, seed = "11")
	void combinedRateOfAllInstancesStaysWithinColdServerLimit(@ForAll @IntRange(min = 2, max = 60) int rate,
			@ForAll @IntRange(min = 1, max = 7) int intervalMillis) {
		int sharingInstances = Math.max(1, Math.min(74, (int) (rate / 2.0 + 5)));
		List<ColdServerRateLimiter> instances = IntStream.range(0, sharingInstances)
			.mapToObj((index) -> new ColdServerRateLimiter())
			.toList();
		List<Long> sendTimes = new ArrayList<>();
		for (long now = 0; now < 3 * SECOND_MILLIS; now += intervalMillis) {
			for (ColdServerRateLimiter instance : instances) {
				if (instance.tryAcquire(now, rate, sharingInstances)) {
					sendTimes.add(now);
				}
			}
		}
		for (long start : sendTimes) {
			long requestsInSecond = sendTimes.stream()
				.filter((time) -> time >= start && time < start + SECOND_MILLIS)
				.count();
			assertThat((double) requestsInSecond, lessThanOrEqualTo(rate * 1.5 + 5));
		}
	}

}
