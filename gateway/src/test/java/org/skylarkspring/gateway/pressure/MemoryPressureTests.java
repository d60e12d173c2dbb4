package org.skylarkspring.gateway.pressure;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests {@link MemoryPressure}. An instance must turn work away before it runs out of
 * memory, and must not do so on old data, by garbage, or in turns with accepting.
 */
class MemoryPressureTests {

	private static final long LIMIT_BYTES = 1_000;

	private final MemoryPressure pressure = new MemoryPressure();

	private static MemorySample sample(long liveBytes, long ageMillis) {
		return new MemorySample(liveBytes, LIMIT_BYTES, 300, 200, ageMillis);
	}

	@Test
	void newWorkIsTakenWhileMemoryIsFree() {
		for (long live = 0; live <= LIMIT_BYTES * MemoryPressure.SHED_SHARE; live += 50) {
			assertThat(this.pressure.update(sample(live, 0)), is(false));
			assertThat(this.pressure.decision(), is(new MemoryDecision.Accept()));
		}
	}

	@Test
	void newWorkIsTurnedAwayNearTheLimitAndTheDecisionNamesTheFigures() {
		assertThat(this.pressure.update(sample(900, 0)), is(true));
		assertThat(this.pressure.decision(), is(new MemoryDecision.Shed(sample(900, 0))));
		assertThat(this.pressure.decision().toString(),
				allOf(containsString("900 of 1000"), containsString("bodies 300"), containsString("responses 200")));
	}

	@Test
	void newWorkIsTakenAgainOnlyWhenClearlyLessIsInUse() {
		this.pressure.update(sample(900, 0));
		assertThat(this.pressure.update(sample(800, 0)), is(false));
		assertThat(this.pressure.isShedding(), is(true));
		assertThat(this.pressure.update(sample(740, 0)), is(true));
		assertThat(this.pressure.update(sample(800, 0)), is(false));
		assertThat(this.pressure.isShedding(), is(false));
	}

	@Test
	void oldSampleProvesNothing() {
		assertThat(this.pressure.update(sample(990, MemoryPressure.MAXIMUM_AGE_MILLIS + 1)), is(false));
		this.pressure.update(sample(990, 0));
		assertThat(this.pressure.update(sample(990, MemoryPressure.MAXIMUM_AGE_MILLIS + 1)), is(true));
		assertThat(this.pressure.isShedding(), is(false));
	}

}
