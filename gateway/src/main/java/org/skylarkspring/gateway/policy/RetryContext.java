package org.skylarkspring.gateway.policy;

import java.util.function.BooleanSupplier;

/**
 * A request whose attempt did not bring an answer, and the rules for what comes next. A
 * request that may have run is repeated only if its kind allows it, and never refused as
 * not run.
 *
 * @param retryable whether the request may run more than once
 * @param responseCommitted whether the caller has received part of the answer
 * @param possibleExecutions sends after which the request may have run
 * @param maximumExecutions number of servers the request may run on
 * @param sendCount sends of any outcome
 */
public record RetryContext(boolean retryable, boolean responseCommitted, int possibleExecutions, int maximumExecutions,
		int sendCount) {

	/** Sends of one request after which it is given up, whatever their outcomes. */
	private static final int MAXIMUM_SENDS = 4;

	/**
	 * Decides what comes next.
	 * @param budget takes a repeat from the budget of repeats, {@code false} if there is
	 * none left; asked only where a repeat is allowed otherwise
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
	 * Returns what comes next if the request can't be placed again.
	 * @return the next step
	 */
	public RetryDecision decideWithoutRetry() {
		if (this.responseCommitted) {
			return RetryDecision.CLOSE_CONNECTION;
		}
		return (this.possibleExecutions > 0) ? RetryDecision.FAIL : RetryDecision.REJECT;
	}

}
