package org.skylarkspring.core.internal;

/**
 * Limits the retries of one service to a fraction of its completed requests, so that
 * retries do not overload a failing pool.
 */
final class RetryBudget {

	private static final double RETRIES_PER_COMPLETED_REQUEST = 0.1;

	private static final double MAXIMUM_AVAILABLE_RETRIES = 20;

	private double availableRetries = MAXIMUM_AVAILABLE_RETRIES / 2;

	void recordCompletedRequest() {
		this.availableRetries = Math.min(MAXIMUM_AVAILABLE_RETRIES,
				this.availableRetries + RETRIES_PER_COMPLETED_REQUEST);
	}

	boolean tryAcquireRetry() {
		if (this.availableRetries < 1) {
			return false;
		}
		this.availableRetries--;
		return true;
	}

}
