package org.skylarkspring.gateway.admission;

/**
 * Moving average of durations and of their deviation.
 */
final class DurationEstimate {

	private static final double MEAN_WEIGHT = 1.0 / 8;

	private static final double DEVIATION_WEIGHT = 1.0 / 4;

	/** Number of deviations from the mean within which most durations lie. */
	private static final double DEVIATIONS = 2;

	private double meanMillis = -1;

	private double deviationMillis;

	void record(long millis) {
		if (this.meanMillis < 0) {
			this.meanMillis = millis;
			this.deviationMillis = millis / 2.0;
			return;
		}
		this.deviationMillis += DEVIATION_WEIGHT * (Math.abs(millis - this.meanMillis) - this.deviationMillis);
		this.meanMillis += MEAN_WEIGHT * (millis - this.meanMillis);
	}

	/**
	 * Returns a duration that few are below.
	 * @return the duration in milliseconds, 0 if none is known
	 */
	long lowMillis() {
		return (long) Math.max(0, this.meanMillis - DEVIATIONS * this.deviationMillis);
	}

	/**
	 * Returns a duration that few exceed.
	 * @param unknownMillis returned if no duration is known, in milliseconds
	 * @return the duration in milliseconds
	 */
	long highMillisOr(long unknownMillis) {
		return (this.meanMillis < 0) ? unknownMillis : (long) (this.meanMillis + DEVIATIONS * this.deviationMillis);
	}

}
