package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link RampShare}.
 */
class RampShareTests {

	private static int sum(int limit, int maximumInstances, int seats, int instances, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<List<Integer>> held = new ArrayList<>();
		for (int instance = 0; instance < instances; instance++) {
			held.add(new ArrayList<>());
		}
		for (int seat = 0; seat < seats; seat++) {
			held.get(random.nextInt(instances)).add(seat);
		}
		return held.stream().mapToInt((seatsHeld) -> RampShare.share(limit, maximumInstances, seats, seatsHeld)).sum();
	}

	@Property(seed = "41", tries = 2_000)
	void neverExceedsTheLimit(@ForAll @IntRange(min = 1, max = 500) int limit,
			@ForAll @IntRange(min = 1, max = 450) int maximumInstances, @ForAll @IntRange(min = 1, max = 4) int seats,
			@ForAll @IntRange(min = 1, max = 450) int instances, @ForAll long seed) {
		int live = Math.min(instances, maximumInstances);
		assertThat(sum(limit, maximumInstances, seats, live, seed), lessThanOrEqualTo(limit));
	}

	@Property(seed = "43", tries = 500)
	void usesTheWholeLimitWhenAllInstancesLive(@ForAll @IntRange(min = 1, max = 500) int limit,
			@ForAll @IntRange(min = 1, max = 450) int instances, @ForAll @IntRange(min = 1, max = 4) int seats,
			@ForAll long seed) {
		assertThat(sum(limit, instances, seats, instances, seed), is(limit));
	}

}
