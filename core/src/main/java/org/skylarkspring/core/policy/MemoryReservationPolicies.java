package org.skylarkspring.core.policy;

/**
 * Ready-made memory promises.
 */
public final class MemoryReservationPolicies {

	private MemoryReservationPolicies() {
	}

	/**
	 * Promises the remaining length at the steered quantile.
	 * @return the promise
	 */
	public static MemoryReservationPolicy quantile() {
		return (quantileTokens, meanTokens, maximumTokens) -> Math.min(quantileTokens, maximumTokens);
	}

	/**
	 * Promises the mean remaining length.
	 * @return the promise
	 */
	public static MemoryReservationPolicy mean() {
		return (quantileTokens, meanTokens, maximumTokens) -> Math.min(meanTokens, maximumTokens);
	}

	/**
	 * Promises all that the caller allows.
	 * @return the promise
	 */
	public static MemoryReservationPolicy maximum() {
		return (quantileTokens, meanTokens, maximumTokens) -> maximumTokens;
	}

	/**
	 * Promises nothing beyond the prompt.
	 * @return the promise
	 */
	public static MemoryReservationPolicy none() {
		return (quantileTokens, meanTokens, maximumTokens) -> 0;
	}

}
