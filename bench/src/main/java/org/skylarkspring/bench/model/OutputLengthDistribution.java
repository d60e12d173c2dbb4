package org.skylarkspring.bench.model;

import java.util.SplittableRandom;

/**
 * Heavy-tailed lengths of generations: log-normal, cut off at a maximum.
 *
 * @param medianTokens median length
 * @param sigma standard deviation of the logarithm
 * @param maximumTokens largest length
 */
public record OutputLengthDistribution(double medianTokens, double sigma, int maximumTokens) {

	/**
	 * Draws a length.
	 * @param random source of randomness
	 * @return number of tokens, at least 1
	 */
	public int sample(SplittableRandom random) {
		double length = this.medianTokens * Math.exp(this.sigma * gaussian(random));
		return (int) Math.max(1, Math.min(this.maximumTokens, length));
	}

	/**
	 * Returns the mean of the uncut distribution.
	 * @return number of tokens
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
