package org.skylarkspring.core.policy;

/**
 * Estimates the remaining output length of a generation from completed and running
 * generations. For each length interval (bin) it counts the generations that reached it
 * and those that ended in it, so that a long generation affects the estimate while it is
 * still running and not only when it ends. Older observations are discounted.
 */
public final class OutputLengthEstimator {

	private static final double BIN_GROWTH_RATIO = 1.3;

	private static final int BIN_COUNT = 48;

	private static final double DISCOUNT_PER_GENERATION = 0.9995;

	/**
	 * Completed generations below which the prior is returned instead of an estimate.
	 */
	private static final double MINIMUM_OBSERVATIONS = 30;

	private static final double PRIOR_TOKENS = 256;

	private static final double[] BIN_UPPER_BOUNDS = computeBinUpperBounds();

	private final double[] reachedCounts = new double[BIN_COUNT];

	private final double[] endedCounts = new double[BIN_COUNT];

	private final double[] meanRemainingByBin = new double[BIN_COUNT];

	private boolean meansOutdated = true;

	/**
	 * Returns the length interval of a length.
	 * @param tokens length in tokens
	 * @return index of the interval
	 */
	public static int binOf(int tokens) {
		int bin = (tokens < 1) ? 0 : (int) Math.ceil(Math.log(tokens) / Math.log(BIN_GROWTH_RATIO));
		while (bin > 0 && BIN_UPPER_BOUNDS[Math.min(bin, BIN_COUNT) - 1] >= tokens) {
			bin--;
		}
		return Math.min(bin, BIN_COUNT - 1);
	}

	/**
	 * Records that a generation has grown.
	 * @param fromTokens length recorded so far in tokens, -1 for a generation that has
	 * just started
	 * @param toTokens new length in tokens
	 */
	public void recordGrowth(int fromTokens, int toTokens) {
		int first = (fromTokens < 0) ? 0 : binOf(fromTokens) + 1;
		for (int bin = first; bin <= binOf(toTokens); bin++) {
			this.reachedCounts[bin]++;
			this.meansOutdated = true;
		}
	}

	/**
	 * Records that a generation has ended at the length recorded last.
	 * @param tokens final length in tokens
	 */
	public void recordEnd(int tokens) {
		this.endedCounts[binOf(tokens)]++;
		for (int bin = 0; bin < BIN_COUNT; bin++) {
			this.reachedCounts[bin] *= DISCOUNT_PER_GENERATION;
			this.endedCounts[bin] *= DISCOUNT_PER_GENERATION;
		}
		this.meansOutdated = true;
	}

	/**
	 * Returns whether enough generations have ended for an estimate.
	 * @return {@code false} if the prior is returned
	 */
	public boolean hasEnoughObservations() {
		double total = 0;
		for (double count : this.endedCounts) {
			total += count;
		}
		return total >= MINIMUM_OBSERVATIONS;
	}

	/**
	 * Returns the remaining length of a generation at a quantile.
	 * @param tokens length so far in tokens
	 * @param quantile quantile from 0 to 1
	 * @return remaining tokens
	 */
	public double quantileRemaining(int tokens, double quantile) {
		if (!hasEnoughObservations()) {
			return PRIOR_TOKENS;
		}
		double survival = 1;
		for (int bin = binOf(tokens); bin < BIN_COUNT; bin++) {
			double next = survival * (1 - hazardRate(bin));
			if (1 - next >= quantile) {
				return Math.max(1, interpolateQuantile(bin, survival, next, quantile) - tokens);
			}
			survival = next;
		}
		return BIN_UPPER_BOUNDS[BIN_COUNT - 1] - Math.min(tokens, BIN_UPPER_BOUNDS[BIN_COUNT - 1] - 1);
	}

	/**
	 * Returns the mean remaining length of a generation.
	 * @param tokens length so far in tokens
	 * @return mean remaining tokens
	 */
	public double meanRemaining(int tokens) {
		if (!hasEnoughObservations()) {
			return PRIOR_TOKENS;
		}
		if (this.meansOutdated) {
			refreshMeans();
		}
		return this.meanRemainingByBin[binOf(tokens)];
	}

	private void refreshMeans() {
		double meanAfterBin = 0;
		for (int bin = BIN_COUNT - 1; bin >= 0; bin--) {
			double width = BIN_UPPER_BOUNDS[bin] - binLowerBound(bin);
			double hazard = hazardRate(bin);
			meanAfterBin = hazard * width / 2 + (1 - hazard) * (width + meanAfterBin);
			this.meanRemainingByBin[bin] = Math.max(1, meanAfterBin);
		}
		this.meansOutdated = false;
	}

	private double interpolateQuantile(int bin, double survival, double next, double quantile) {
		double fraction = (survival > next) ? (survival - (1 - quantile)) / (survival - next) : 1;
		return binLowerBound(bin) + fraction * (BIN_UPPER_BOUNDS[bin] - binLowerBound(bin));
	}

	// A bin reached by less than one generation (after discounting) uses the hazard rate
	// of the closest shorter bin that was reached, at least 0.3, so that the estimated
	// tail ends.
	private double hazardRate(int bin) {
		for (int observedBin = bin; observedBin >= 0; observedBin--) {
			if (this.reachedCounts[observedBin] >= 1) {
				double hazard = this.endedCounts[observedBin] / this.reachedCounts[observedBin];
				return Math.min(1, (observedBin == bin) ? hazard : Math.max(hazard, 0.3));
			}
		}
		return 1;
	}

	private static double binLowerBound(int bin) {
		return (bin > 0) ? BIN_UPPER_BOUNDS[bin - 1] : 0;
	}

	private static double[] computeBinUpperBounds() {
		double[] upper = new double[BIN_COUNT];
		double bound = 1;
		for (int bin = 0; bin < BIN_COUNT; bin++) {
			upper[bin] = bound;
			bound *= BIN_GROWTH_RATIO;
		}
		return upper;
	}

}
