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
 * Tests for {@link SharedRateLimiter}.
 */
class SharedRateLimiterTests {

	private static final long SECOND_MILLIS = 1_000;

	private static final double COLD_BURST_SECONDS = 0.5;

	private static final double NAMED_LIMIT_BURST_SECONDS = 1;

	@Test
	void allowsOneRequestAtStartThenRefillsAtSharedRate() {
		SharedRateLimiter limiter = new SharedRateLimiter(COLD_BURST_SECONDS);
		assertThat(limiter.tryAcquire(0, 40, 4), is(true));
		assertThat(limiter.tryAcquire(0, 40, 4), is(false));
		assertThat(limiter.tryAcquire(100, 40, 4), is(true));
	}

	// The platform accepts at most 1.5 times the rate plus 5 requests in any second.
	@Property(tries = 100, seed = "11")
	void combinedRateOfAllInstancesStaysWithinColdServerLimit(@ForAll @IntRange(min = 2, max = 60) int rate,
			@ForAll @IntRange(min = 1, max = 7) int intervalMillis) {
		int sharingInstances = Math.max(1, Math.min(74, (int) (rate / 2.0 + 5)));
		List<SharedRateLimiter> instances = IntStream.range(0, sharingInstances)
			.mapToObj((index) -> new SharedRateLimiter(COLD_BURST_SECONDS))
			.toList();
		List<Long> sendTimes = new ArrayList<>();
		for (long now = 0; now < 3 * SECOND_MILLIS; now += intervalMillis) {
			for (SharedRateLimiter instance : instances) {
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

	// The platform accepts at most 1.5 times the rate plus 5 requests in any 4 seconds.
	@Property(tries = 100, seed = "12")
	void combinedRateOfAllInstancesStaysWithinLimitNamedByServer(
			@ForAll @IntRange(min = 1, max = 300) int tenthsPerSecond,
			@ForAll @IntRange(min = 1, max = 300) int instances,
			@ForAll @IntRange(min = 1, max = 400) int intervalMillis) {
		double rate = tenthsPerSecond / 10.0;
		int sharingInstances = Math.min(instances, (int) (rate + 5));
		List<SharedRateLimiter> limiters = IntStream.range(0, sharingInstances)
			.mapToObj((index) -> new SharedRateLimiter(NAMED_LIMIT_BURST_SECONDS))
			.toList();
		List<Long> sendTimes = new ArrayList<>();
		for (long now = 0; now < 12 * SECOND_MILLIS; now += intervalMillis) {
			long time = now;
			limiters.stream()
				.filter((limiter) -> limiter.tryAcquire(time, rate, sharingInstances))
				.forEach((limiter) -> sendTimes.add(time));
		}
		for (long start : sendTimes) {
			long requests = sendTimes.stream()
				.filter((time) -> time >= start && time < start + 4 * SECOND_MILLIS)
				.count();
			assertThat((double) requests, lessThanOrEqualTo(1.5 * rate * 4 + 5));
		}
	}

	@Test
	void timeUntilPermitIsThatOfOwnShare() {
		SharedRateLimiter limiter = new SharedRateLimiter(NAMED_LIMIT_BURST_SECONDS);
		assertThat(limiter.millisUntilPermit(0, 2, 4), is(0L));
		assertThat(limiter.tryAcquire(0, 2, 4), is(true));
		assertThat(limiter.millisUntilPermit(500, 2, 4), is(1_500L));
		assertThat(limiter.tryAcquire(2_000, 2, 4), is(true));
	}

}
