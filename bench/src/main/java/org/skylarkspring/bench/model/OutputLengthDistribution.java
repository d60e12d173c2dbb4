package org.skylarkspring.bench.model;

import java.util.SplittableRandom;

/**
 * Log-normal, heavy-tailed distribution of generation lengths; longer samples are reduced
 * to a maximum.
 *
 * @param medianTokens median length in tokens
 * @param sigma standard deviation of the logarithm
 * @param maximumTokens maximum length in tokens
 */
public record OutputLengthDistribution(double medianTokens, double sigma, int maximumTokens) {

	/**
	 * Draws a random length.
	 * @param random random number generator
	 * @return number of tokens, at least 1
	 */
	public int sample(SplittableRandom random) {
		double length = this.medianTokens * Math.exp(this.sigma * gaussian(random));
		return (int) Math.max(1, Math.min(this.maximumTokens, length));
	}

	/**
	 * Returns the mean of the distribution without the maximum.
	 * @return mean number of tokens
	 */
	public double meanTokens() {
		return this.medianTokens * Math.exp(this.sigma * this.sigma / 2);
	}

	private static double gaussian(SplittableRandom random) {
		double first = 1 - random.nextDouble();
		double second = random.nextDouble();
		return Math.sqrt(-2 * Math.log(first)) * Math.cos(2 * Math.PI * second);
	}

}
