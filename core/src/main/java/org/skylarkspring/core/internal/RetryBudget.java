package org.skylarkspring.core.internal;

/**
 * Bounds the retries of one service to a fraction of its requests, so that a failing pool
 * is not flooded by retries.
 */
final class RetryBudget {

	private static final double RETRIES_PER_REQUEST = 0.1;

	private static final double MAXIMUM_RETRIES = 20;

	private double retries = MAXIMUM_RETRIES / 2;

	void requestSent() {
		this.retries = Math.min(MAXIMUM_RETRIES, this.retries + RETRIES_PER_REQUEST);
	}

	boolean takeRetry() {
		if (this.retries < 1) {
			return false;
		}
		this.retries--;
		return true;
	}

}
