package org.skylarkspring.core.policy;

/**
 * Says how many more tokens a generation is expected to need memory for.
 */
@FunctionalInterface
public interface MemoryReservationPolicy {

	/**
	 * Returns the number of tokens to promise.
	 * @param quantileTokens remaining length at the steered quantile
	 * @param meanTokens mean remaining length
	 * @param maximumTokens largest remaining length the caller allows
	 * @return number of tokens, not negative
	 */
	double reservedTokens(double quantileTokens, double meanTokens, double maximumTokens);

}
