package org.skylarkspring.core.internal;

/**
 * Measures how fast a queue drains.
 */
final class ThroughputEstimator {

	private static final double SMOOTHING_TIME_CONSTANT_MILLIS = 5_000;

	private double costPerMilli;

	private double unmeasuredCost;

	private long lastUpdateMillis = Long.MIN_VALUE;

	void recordServed(double cost) {
		this.unmeasuredCost += cost;
	}

	/**
	 * Folds the cost served since the last call into the rate.
	 * @param nowMillis the time
	 * @param backlog whether requests were waiting, otherwise the rate says nothing about
	 * the capacity
	 */
	void updateRate(long nowMillis, boolean backlog) {
		if (this.lastUpdateMillis == Long.MIN_VALUE) {
			this.lastUpdateMillis = nowMillis;
			return;
		}
		double elapsedMillis = Math.max(1, nowMillis - this.lastUpdateMillis);
		double rate = this.unmeasuredCost / elapsedMillis;
		if (backlog || rate > this.costPerMilli) {
			double weight = 1 - Math.exp(-elapsedMillis / SMOOTHING_TIME_CONSTANT_MILLIS);
			this.costPerMilli += weight * (rate - this.costPerMilli);
		}
		this.unmeasuredCost = 0;
		this.lastUpdateMillis = nowMillis;
	}

	/**
	 * Returns how long a cost takes to drain.
	 * @param cost the cost
	 * @return milliseconds, 0 while the rate is unknown
	 */
	double estimateDrainMillis(double cost) {
		return (this.costPerMilli > 0) ? cost / this.costPerMilli : 0;
	}

}
