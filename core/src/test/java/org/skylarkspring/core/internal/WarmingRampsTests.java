package org.skylarkspring.core.internal;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Peers are told of servers that warm up, and of no others.
 */
class WarmingRampsTests {

	private final CoreHarness harness = new CoreHarness(3);

	@Nested
	class Records {

		@Test
		void leaveWarmServersOut() {
			assertThat(WarmingRampsTests.this.harness.core.ramps(), hasSize(6));
			assertThat(WarmingRampsTests.this.harness.core.warmingRamps(), hasSize(0));
		}

		@Test
		void containANewIncarnationAtOnce() {
			WarmingRampsTests.this.harness.nowMillis += 500;
			WarmingRampsTests.this.harness.report(CoreHarness.MODEL + "-1", 2, 0, 0);
			assertThat(WarmingRampsTests.this.harness.core.warmingRamps(), hasSize(1));
			assertThat(WarmingRampsTests.this.harness.core.warmingRamps().get(0).incarnation(), is(2L));
		}

	}

}
