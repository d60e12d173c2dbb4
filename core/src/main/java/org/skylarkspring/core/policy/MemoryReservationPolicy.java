package org.skylarkspring.core.policy;

/**
 * Determines for how many more tokens of a generation memory is reserved.
 */
@FunctionalInterface
public interface MemoryReservationPolicy {

	/**
	 * Returns the number of tokens to reserve memory for.
	 * @param quantileTokens estimated remaining length in tokens at the quantile that is
	 * adjusted to reported preemptions
	 * @param meanTokens estimated mean remaining length in tokens
	 * @param maximumTokens maximum remaining length in tokens that the caller allows
	 * @return number of tokens, not negative
	 */
	double reservedTokens(double quantileTokens, double meanTokens, double maximumTokens);

}
