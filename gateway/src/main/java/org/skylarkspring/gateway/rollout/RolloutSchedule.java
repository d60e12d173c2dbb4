package org.skylarkspring.gateway.rollout;

/**
 * Times of a rollout on the monotonic clock of an instance.
 *
 * @param orderedMillis when the order was given
 * @param durationMillis time within which the rollout has to end, in milliseconds
 * @param exposureShare share of the requests that a bad version may get
 */
public record RolloutSchedule(long orderedMillis, long durationMillis, double exposureShare) {

	/**
	 * Part of the allowed share that is used while the version is tested. The rest covers
	 * the promotion, in which all requests go to the new version.
	 */
	public static final double TEST_BUDGET_FRACTION = 0.4;

	/** Part of the allowed share that is left for the promotion, less a reserve. */
	private static final double PROMOTION_TIME_FRACTION = 0.5;

	/** Part of the promotion that is left for the last write and its spread. */
	private static final double COMPLETION_FRACTION = 0.5;

	/**
	 * Returns when the rollout has to have ended.
	 * @return time in milliseconds
	 */
	public long limitMillis() {
		return this.orderedMillis + this.durationMillis;
	}

	/**
	 * Returns how much of the time has passed.
	 * @param nowMillis current time in milliseconds
	 * @return the part, 1 at the time limit
	 */
	public double elapsedPart(long nowMillis) {
		return (double) (nowMillis - this.orderedMillis) / this.durationMillis;
	}

	/**
	 * Returns when the test ends. It lasts as long as the exposure limit allows, because
	 * some faults show late.
	 * @return time in milliseconds
	 */
	public long promotionMillis() {
		return limitMillis() - promotionLengthMillis();
	}

	/**
	 * Returns when the old servers may stop at the latest.
	 * @return time in milliseconds
	 */
	public long completionMillis() {
		return limitMillis() - (long) (COMPLETION_FRACTION * promotionLengthMillis());
	}

	private long promotionLengthMillis() {
		return (long) (PROMOTION_TIME_FRACTION * this.exposureShare * this.durationMillis);
	}

}
