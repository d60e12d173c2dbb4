package org.skylarkspring.gateway.policy;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link SuspensionDetector}.
 */
class SuspensionDetectorTests {

	private final SuspensionDetector detector = new SuspensionDetector();

	@Test
	void reportsNoJumpWhenClocksAdvanceTogether() {
		assertThat(this.detector.detectClockJump(1_000, 50_000), is(false));
		assertThat(this.detector.detectClockJump(9_000, 58_010), is(false));
	}

	@Test
	void reportsJumpWhenMonotonicClockStoodStill() {
		this.detector.detectClockJump(1_000, 50_000);
		assertThat(this.detector.detectClockJump(1_001, 54_000), is(true));
		assertThat(this.detector.detectClockJump(1_002, 54_001), is(false));
	}

	@Test
	void reportsJumpWhenWallClockStepsForwardOrBackward() {
		this.detector.detectClockJump(1_000, 50_000);
		assertThat(this.detector.detectClockJump(1_001, 47_600), is(true));
		assertThat(this.detector.detectClockJump(1_002, 50_002), is(true));
	}

}
