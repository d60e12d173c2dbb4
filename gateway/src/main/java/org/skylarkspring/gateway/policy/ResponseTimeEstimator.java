package org.skylarkspring.gateway.policy;

/**
 * Estimates the time within which a service usually responds, from a moving average of
 * the response times and of their deviation, as TCP does for its retransmission timeout.
 */
public final class ResponseTimeEstimator {

	private static final double MEAN_WEIGHT = 1.0 / 8;

	private static final double DEVIATION_WEIGHT = 1.0 / 4;

	/** Number of deviations above the mean that are still usual. */
	private static final double DEVIATIONS = 4;

	private double meanMillis = -1;

	private double deviationMillis;

	/**
	 * Records a response.
	 * @param millis time from sending the request to the complete response
	 */
	public void record(long millis) {
		if (this.meanMillis < 0) {
			this.meanMillis = millis;
			this.deviationMillis = millis / 2.0;
			return;
		}
		this.deviationMillis += DEVIATION_WEIGHT * (Math.abs(millis - this.meanMillis) - this.deviationMillis);
		this.meanMillis += MEAN_WEIGHT * (millis - this.meanMillis);
	}

	/**
	 * Returns the time within which the service usually responds.
	 * @return the time in milliseconds, -1 before the first response
	 */
	public double usualMillis() {
		return (this.meanMillis < 0) ? -1 : this.meanMillis + DEVIATIONS * this.deviationMillis;
	}

}
