package org.skylarkspring.gateway.policy;

import java.util.function.BooleanSupplier;

/**
 * State of a request after an attempt that received no complete response, and the rules
 * for the next step. A request that may have run is retried only if its semantics allow
 * it, and is never rejected as not run.
 *
 * @param retryable whether the request may run more than once
 * @param responseCommitted whether the caller has received part of the response
 * @param possibleExecutions number of sends after which the request may have run
 * @param maximumExecutions maximum number of servers the request may run on
 * @param sendCount number of sends, whatever their outcome
 */
public record RetryContext(boolean retryable, boolean responseCommitted, int possibleExecutions, int maximumExecutions,
		int sendCount) {

	/** Maximum number of sends per request, whatever their outcome. */
	private static final int MAXIMUM_SENDS = 4;

	/**
	 * Decides the next step.
	 * @param budget acquires a retry from the retry budget, {@code false} if none is
	 * available; called only if the retry is otherwise allowed
	 * @return the next step
	 */
	public RetryDecision decide(BooleanSupplier budget) {
		boolean mayHaveRun = this.possibleExecutions > 0 || this.responseCommitted;
		boolean allowed = !mayHaveRun || (this.retryable && this.possibleExecutions < this.maximumExecutions);
		if (allowed && this.sendCount < MAXIMUM_SENDS && budget.getAsBoolean()) {
			return RetryDecision.RETRY;
		}
		return decideWithoutRetry();
	}

	/**
	 * Returns the next step if the request cannot be dispatched again.
	 * @return the next step
	 */
	public RetryDecision decideWithoutRetry() {
		if (this.responseCommitted) {
			return RetryDecision.CLOSE_CONNECTION;
		}
		return (this.possibleExecutions > 0) ? RetryDecision.FAIL : RetryDecision.REJECT;
	}

}
