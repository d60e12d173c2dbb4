package org.skylarkspring.gateway.pressure;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests {@link ReadPauses}. A server must neither be blamed for a response that it cut
 * because it was not read, nor excused for one that it broke off for another reason.
 */
class ReadPausesTests {

	private final ReadPauses pauses = new ReadPauses();

	@Test
	void responseThatWasReadAllTheTimeIsNotCutForIt() {
		assertThat(this.pauses.mayHaveCausedCut(100_000), is(false));
	}

	@Test
	void shortPauseIsNoReason() {
		this.pauses.pause(0);
		assertThat(this.pauses.mayHaveCausedCut(ReadPauses.MINIMUM_PAUSED_MILLIS - 1), is(false));
		this.pauses.resume(ReadPauses.MINIMUM_PAUSED_MILLIS - 1);
		assertThat(this.pauses.mayHaveCausedCut(ReadPauses.MINIMUM_PAUSED_MILLIS + 1), is(false));
	}

	@Test
	void cutDuringOrSoonAfterLongPauseHasThatReason() {
		this.pauses.pause(0);
		assertThat(this.pauses.mayHaveCausedCut(ReadPauses.MINIMUM_PAUSED_MILLIS), is(true));
		this.pauses.resume(3_000);
		assertThat(this.pauses.mayHaveCausedCut(3_000), is(true));
		assertThat(this.pauses.mayHaveCausedCut(3_000 + ReadPauses.NOTICE_MILLIS), is(true));
	}

	@Test
	void failureLongAfterPauseIsOneOfTheServer() {
		this.pauses.pause(0);
		this.pauses.resume(3_000);
		assertThat(this.pauses.mayHaveCausedCut(3_001 + ReadPauses.NOTICE_MILLIS), is(false));
	}

	@Test
	void manyPausesOfSlowCallerCountTogether() {
		for (int number = 0; number < 10; number++) {
			this.pauses.pause(number * 200);
			this.pauses.pause(number * 200 + 50);
			this.pauses.resume(number * 200 + 120);
		}
		assertThat(this.pauses.mayHaveCausedCut(2_000), is(true));
	}

}
