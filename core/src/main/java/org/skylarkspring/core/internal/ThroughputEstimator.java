package org.skylarkspring.core.internal;

/**
 * Estimates how fast a queue drains, as a smoothed rate of the cost served per
 * millisecond.
 */
final class ThroughputEstimator {

	private static final double SMOOTHING_TIME_CONSTANT_MILLIS = 5_000;

	private double costPerMillisecond;

	private double costSinceLastUpdate;

	private long lastUpdateMillis = Long.MIN_VALUE;

	void recordServed(double cost) {
		this.costSinceLastUpdate += cost;
	}

	/**
	 * Updates the rate with the cost served since the last call. Without a backlog, the
	 * served cost is limited by demand, so it does not lower the rate.
	 * @param nowMillis current time in milliseconds
	 * @param backlog whether requests were waiting; only then does the served cost
	 * reflect the capacity
	 */
	void updateRate(long nowMillis, boolean backlog) {
		if (this.lastUpdateMillis == Long.MIN_VALUE) {
			this.lastUpdateMillis = nowMillis;
			return;
		}
		double elapsedMillis = Math.max(1, nowMillis - this.lastUpdateMillis);
		double rate = this.costSinceLastUpdate / elapsedMillis;
		if (backlog || rate > this.costPerMillisecond) {
			double smoothingFactor = 1 - Math.exp(-elapsedMillis / SMOOTHING_TIME_CONSTANT_MILLIS);
			this.costPerMillisecond += smoothingFactor * (rate - this.costPerMillisecond);
		}
		this.costSinceLastUpdate = 0;
		this.lastUpdateMillis = nowMillis;
	}

	/**
	 * Returns the estimated time to serve a cost.
	 * @param cost cost of the queued requests in tokens
	 * @return time in milliseconds, 0 while the rate is unknown
	 */
	double estimateDrainMillis(double cost) {
		return (this.costPerMillisecond > 0) ? cost / this.costPerMillisecond : 0;
	}

}
