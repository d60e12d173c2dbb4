package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link WarmupLimitShare}.
 */
class WarmupLimitShareTests {

	private static int sumOfShares(int limit, int maximumInstances, int localInstances, int slots, int instances,
			long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<List<Integer>> leasedSlotsByInstance = new ArrayList<>();
		for (int instance = 0; instance < instances; instance++) {
			leasedSlotsByInstance.add(new ArrayList<>());
		}
		for (int slot = 0; slot < slots; slot++) {
			leasedSlotsByInstance.get(random.nextInt(instances)).add(slot);
		}
		return IntStream.range(0, instances)
			.map((index) -> WarmupLimitShare.computeShare(limit, maximumInstances, index < localInstances, slots,
					leasedSlotsByInstance.get(index)))
			.sum();
	}

	@Property(seed = "41", tries = 2_000)
	void sumOfSharesNeverExceedsLimit(@ForAll @IntRange(min = 1, max = 500) int limit,
			@ForAll @IntRange(min = 1, max = 450) int maximumInstances, @ForAll @IntRange(min = 1, max = 4) int slots,
			@ForAll @IntRange(min = 1, max = 450) int instances, @ForAll long seed) {
		int localInstances = Math.min(instances, maximumInstances);
		assertThat(sumOfShares(limit, maximumInstances, localInstances, slots, instances, seed),
				lessThanOrEqualTo(limit));
	}

	@Property(seed = "43", tries = 500)
	void sumOfSharesEqualsLimitWhenAllInstancesAreLive(@ForAll @IntRange(min = 1, max = 500) int limit,
			@ForAll @IntRange(min = 1, max = 450) int instances, @ForAll @IntRange(min = 1, max = 4) int slots,
			@ForAll long seed) {
		assertThat(sumOfShares(limit, instances, instances, slots, instances, seed), is(limit));
	}

}
