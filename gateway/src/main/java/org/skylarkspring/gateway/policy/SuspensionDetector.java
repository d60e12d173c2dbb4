package org.skylarkspring.gateway.policy;

/**
 * Notices that the process was suspended. The steady clock stands still while a machine
 * is suspended and the time of day goes on, so a growing distance between the two means
 * that ages measured by the steady clock are too small. A step of the time of day looks
 * the same and is treated the same.
 */
public final class SuspensionDetector {

	/** Distance that scheduling delays between two clock readings can't explain. */
	private static final long TOLERANCE_MILLIS = 100;

	private long clockOffsetMillis;

	private boolean initialized;

	/**
	 * Compares the clocks.
	 * @param steadyMillis reading of the steady clock
	 * @param epochMillis reading of the time of day, taken right after
	 * @return {@code true} if ages measured across this moment can't be trusted
	 */
	public boolean detectClockJump(long steadyMillis, long epochMillis) {
		long offset = epochMillis - steadyMillis;
		boolean jumped = this.initialized && Math.abs(offset - this.clockOffsetMillis) > TOLERANCE_MILLIS;
		this.initialized = true;
		this.clockOffsetMillis = offset;
		return jumped;
	}

}
