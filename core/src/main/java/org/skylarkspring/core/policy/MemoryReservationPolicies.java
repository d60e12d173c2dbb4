package org.skylarkspring.core.policy;

/**
 * Predefined memory reservation policies.
 */
public final class MemoryReservationPolicies {

	private MemoryReservationPolicies() {
	}

	/**
	 * Reserves the remaining length at the quantile that is adjusted to reported
	 * preemptions.
	 * @return the policy
	 */
	public static MemoryReservationPolicy quantile() {
		return (quantileTokens, meanTokens, maximumTokens) -> Math.min(quantileTokens, maximumTokens);
	}

	/**
	 * Reserves the mean remaining length.
	 * @return the policy
	 */
	public static MemoryReservationPolicy mean() {
		return (quantileTokens, meanTokens, maximumTokens) -> Math.min(meanTokens, maximumTokens);
	}

	/**
	 * Reserves the maximum length that the caller allows.
	 * @return the policy
	 */
	public static MemoryReservationPolicy maximum() {
		return (quantileTokens, meanTokens, maximumTokens) -> maximumTokens;
	}

	/**
	 * Reserves no memory beyond the prompt.
	 * @return the policy
	 */
	public static MemoryReservationPolicy none() {
		return (quantileTokens, meanTokens, maximumTokens) -> 0;
	}

}
