package org.skylarkspring.core.internal;

/**
 * Distribution of output lengths, learned from finished and from running generations. It
 * keeps for each interval of lengths how many generations reached it and how many ended
 * in it, so that long generations count from the moment they are long and not only when
 * they end. Older observations are discounted.
 */
final class LengthEstimator {

	private static final double BIN_RATIO = 1.3;

	private static final int BINS = 48;

	private static final double DISCOUNT_PER_GENERATION = 0.9995;

	/** Observations below which the estimate falls back to the prior. */
	private static final double MINIMUM_OBSERVATIONS = 30;

	private static final double PRIOR_TOKENS = 256;

	private static final double[] UPPER = upperBounds();

	private final double[] reached = new double[BINS];

	private final double[] ended = new double[BINS];

	private final double[] meanRemaining = new double[BINS];

	private boolean stale = true;

	static int bin(int tokens) {
		int bin = (tokens < 1) ? 0 : (int) Math.ceil(Math.log(tokens) / Math.log(BIN_RATIO));
		while (bin > 0 && UPPER[Math.min(bin, BINS) - 1] >= tokens) {
			bin--;
		}
		return Math.min(bin, BINS - 1);
	}

	/**
	 * Counts that a generation has grown.
	 * @param fromTokens length counted so far, -1 for a generation that has just started
	 * @param toTokens new length
	 */
	void grown(int fromTokens, int toTokens) {
		int first = (fromTokens < 0) ? 0 : bin(fromTokens) + 1;
		for (int bin = first; bin <= bin(toTokens); bin++) {
			this.reached[bin]++;
			this.stale = true;
		}
	}

	/**
	 * Counts that a generation has ended at the length counted last.
	 * @param tokens final length
	 */
	void ended(int tokens) {
		this.ended[bin(tokens)]++;
		for (int bin = 0; bin < BINS; bin++) {
			this.reached[bin] *= DISCOUNT_PER_GENERATION;
			this.ended[bin] *= DISCOUNT_PER_GENERATION;
		}
		this.stale = true;
	}

	boolean informed() {
		double total = 0;
		for (double count : this.ended) {
			total += count;
		}
		return total >= MINIMUM_OBSERVATIONS;
	}

	/**
	 * Returns the remaining length of a generation at a quantile.
	 * @param tokens length so far
	 * @param quantile quantile from 0 to 1
	 * @return remaining tokens
	 */
	double quantileRemaining(int tokens, double quantile) {
		if (!informed()) {
			return PRIOR_TOKENS;
		}
		double survival = 1;
		for (int bin = bin(tokens); bin < BINS; bin++) {
			double next = survival * (1 - hazard(bin));
			if (1 - next >= quantile) {
				return Math.max(1, within(bin, survival, next, quantile) - tokens);
			}
			survival = next;
		}
		return UPPER[BINS - 1] - Math.min(tokens, UPPER[BINS - 1] - 1);
	}

	/**
	 * Returns the mean remaining length of a generation.
	 * @param tokens length so far
	 * @return remaining tokens
	 */
	double meanRemaining(int tokens) {
		if (!informed()) {
			return PRIOR_TOKENS;
		}
		if (this.stale) {
			refreshMeans();
		}
		return this.meanRemaining[bin(tokens)];
	}

	private void refreshMeans() {
		double following = 0;
		for (int bin = BINS - 1; bin >= 0; bin--) {
			double width = UPPER[bin] - lower(bin);
			double hazard = hazard(bin);
			following = hazard * width / 2 + (1 - hazard) * (width + following);
			this.meanRemaining[bin] = Math.max(1, following);
		}
		this.stale = false;
	}

	private double within(int bin, double survival, double next, double quantile) {
		double part = (survival > next) ? (survival - (1 - quantile)) / (survival - next) : 1;
		return lower(bin) + part * (UPPER[bin] - lower(bin));
	}

	// Unreached intervals take the last known hazard, so that long tails end.
	private double hazard(int bin) {
		for (int known = bin; known >= 0; known--) {
			if (this.reached[known] >= 1) {
				double hazard = this.ended[known] / this.reached[known];
				return Math.min(1, (known == bin) ? hazard : Math.max(hazard, 0.3));
			}
		}
		return 1;
	}

	private static double lower(int bin) {
		return (bin > 0) ? UPPER[bin - 1] : 0;
	}

	private static double[] upperBounds() {
		double[] upper = new double[BINS];
		double bound = 1;
		for (int bin = 0; bin < BINS; bin++) {
			upper[bin] = bound;
			bound *= BIN_RATIO;
		}
		return upper;
	}

}
