package org.skylarkspring.gateway.pressure;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests {@link HeapSampler}. Garbage must not count as memory in use, and bodies that
 * arrive between two collections must.
 */
class HeapSamplerTests {

	private static final long MEGABYTE = 1024 * 1024;

	/** So small that the heap is examined. */
	private static final long PROCESS_LIMIT_BYTES = MEGABYTE;

	@Test
	void nothingIsExaminedWhileLittleOfTheHeapIsInUse() {
		System.gc();
		MemorySample sample = new HeapSampler(0).sample(3, 4, 0);
		assertThat(sample, is(new MemorySample(0, Runtime.getRuntime().maxMemory(), 3, 4, 0)));
	}

	@Test
	void bodiesAndResponsesAfterTheLastCollectionAreAdded() {
		HeapSampler sampler = new HeapSampler(PROCESS_LIMIT_BYTES);
		System.gc();
		MemorySample first = sampler.sample(MEGABYTE, MEGABYTE, 0);
		assertThat(first.liveBytes(), greaterThan(0L));
		MemorySample second = sampler.sample(8 * MEGABYTE, 4 * MEGABYTE, 100);
		assertThat(second.liveBytes(), is(first.liveBytes() + 10 * MEGABYTE));
		assertThat(second.ageMillis(), is(100L));
		assertThat(sampler.sample(MEGABYTE, MEGABYTE, 200).liveBytes(), is(first.liveBytes()));
	}

	@Test
	void garbageIsNotCounted() {
		HeapSampler sampler = new HeapSampler(PROCESS_LIMIT_BYTES);
		byte[][] garbage = new byte[64][];
		for (int number = 0; number < garbage.length; number++) {
			garbage[number] = new byte[(int) MEGABYTE];
		}
		garbage = null;
		System.gc();
		assertThat(sampler.sample(0, 0, 0).liveBytes(), lessThan(64 * MEGABYTE));
	}

	@Test
	void memoryOfTheProcessLowersTheLimitButLeavesSomeWork() {
		System.gc();
		MemorySample limited = new HeapSampler(PROCESS_LIMIT_BYTES).sample(0, 0, 0);
		assertThat(limited.limitBytes(), lessThan(Runtime.getRuntime().maxMemory()));
		assertThat(limited.limitBytes(), greaterThanOrEqualTo(Runtime.getRuntime().maxMemory() / 8));
	}

}
