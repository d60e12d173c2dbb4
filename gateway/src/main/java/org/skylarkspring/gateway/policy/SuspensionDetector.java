package org.skylarkspring.gateway.policy;

/**
 * Detects that the process was suspended. While a machine is suspended, the monotonic
 * clock stops but the wall clock advances, so an increased offset between the two means
 * that ages measured by the monotonic clock are too small. A step of the wall clock
 * cannot be distinguished from a suspension and is treated the same.
 */
public final class SuspensionDetector {

	/** Larger changes of the offset are not explained by scheduling delays alone. */
	private static final long TOLERANCE_MILLIS = 100;

	private long clockOffsetMillis;

	private boolean initialized;

	/**
	 * Compares the clocks with the previous readings.
	 * @param monotonicMillis reading of the monotonic clock
	 * @param epochMillis reading of the wall clock, taken immediately afterwards
	 * @return {@code true} if ages measured from before this call are unreliable
	 */
	public boolean detectClockJump(long monotonicMillis, long epochMillis) {
		long offset = epochMillis - monotonicMillis;
		boolean jumped = this.initialized && Math.abs(offset - this.clockOffsetMillis) > TOLERANCE_MILLIS;
		this.initialized = true;
		this.clockOffsetMillis = offset;
		return jumped;
	}

}
