package org.skylarkspring.core.internal;

/**
 * Measures how fast a queue drains.
 */
final class DrainMeter {

	private static final double TIME_CONSTANT_MILLIS = 5_000;

	private double costPerMilli;

	private double pendingCost;

	private long lastMillis = Long.MIN_VALUE;

	void served(double cost) {
		this.pendingCost += cost;
	}

	/**
	 * Folds the cost served since the last call into the rate.
	 * @param nowMillis the time
	 * @param backlog whether requests were waiting, otherwise the rate says nothing about
	 * the capacity
	 */
	void tick(long nowMillis, boolean backlog) {
		if (this.lastMillis == Long.MIN_VALUE) {
			this.lastMillis = nowMillis;
			return;
		}
		double elapsedMillis = Math.max(1, nowMillis - this.lastMillis);
		double rate = this.pendingCost / elapsedMillis;
		if (backlog || rate > this.costPerMilli) {
			double weight = 1 - Math.exp(-elapsedMillis / TIME_CONSTANT_MILLIS);
			this.costPerMilli += weight * (rate - this.costPerMilli);
		}
		this.pendingCost = 0;
		this.lastMillis = nowMillis;
	}

	/**
	 * Returns how long a cost takes to drain.
	 * @param cost the cost
	 * @return milliseconds, 0 while the rate is unknown
	 */
	double drainMillis(double cost) {
		return (this.costPerMilli > 0) ? cost / this.costPerMilli : 0;
	}

}
