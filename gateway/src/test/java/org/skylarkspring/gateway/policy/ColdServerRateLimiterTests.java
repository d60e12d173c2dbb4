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
		ColdServerRateLimiter limit = new ColdServerRateLimiter();
		assertThat(limit.tryAcquire(0, 40, 4), is(true));
		assertThat(limit.tryAcquire(0, 40, 4), is(false));
		assertThat(limit.tryAcquire(100, 40, 4), is(true));
	}

	// The bound is that of the platform's contract: one and a half times the rate, and
	// five.
	@Property(tries = 100, seed = "11")
	void combinedRateOfAllInstancesStaysWithinColdServerLimit(@ForAll @IntRange(min = 2, max = 60) int rate,
			@ForAll @IntRange(min = 1, max = 7) int pauseMillis) {
		int sharers = Math.max(1, Math.min(74, (int) (rate / 2.0 + 5)));
		List<ColdServerRateLimiter> instances = IntStream.range(0, sharers)
			.mapToObj((index) -> new ColdServerRateLimiter())
			.toList();
		List<Long> taken = new ArrayList<>();
		for (long now = 0; now < 3 * SECOND_MILLIS; now += pauseMillis) {
			for (ColdServerRateLimiter instance : instances) {
				if (instance.tryAcquire(now, rate, sharers)) {
					taken.add(now);
				}
			}
		}
		for (long start : taken) {
			long inSecond = taken.stream().filter((time) -> time >= start && time < start + SECOND_MILLIS).count();
			assertThat((double) inSecond, lessThanOrEqualTo(rate * 1.5 + 5));
		}
	}

}
