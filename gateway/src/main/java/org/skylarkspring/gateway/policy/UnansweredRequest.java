package org.skylarkspring.gateway.policy;

import java.util.function.BooleanSupplier;

/**
 * A request whose attempt did not bring an answer, and the rules for what comes next. A
 * request that may have run is repeated only if its kind allows it, and never refused as
 * not run.
 *
 * @param repeatable whether the request may run more than once
 * @param committed whether the caller has received part of the answer
 * @param runs sends after which the request may have run
 * @param maximumRuns number of servers the request may run on
 * @param sends sends of any outcome
 */
public record UnansweredRequest(boolean repeatable, boolean committed, int runs, int maximumRuns, int sends) {

	/** Sends of one request after which it is given up, whatever their outcomes. */
	private static final int MAXIMUM_SENDS = 4;

	/**
	 * Decides what comes next.
	 * @param budget takes a repeat from the budget of repeats, {@code false} if there is
	 * none left; asked only where a repeat is allowed otherwise
	 * @return the next step
	 */
	public NextStep next(BooleanSupplier budget) {
		boolean mayHaveRun = this.runs > 0 || this.committed;
		boolean allowed = !mayHaveRun || (this.repeatable && this.runs < this.maximumRuns);
		if (allowed && this.sends < MAXIMUM_SENDS && budget.getAsBoolean()) {
			return NextStep.PLACE_AGAIN;
		}
		return without();
	}

	/**
	 * Returns what comes next if the request can't be placed again.
	 * @return the next step
	 */
	public NextStep without() {
		if (this.committed) {
			return NextStep.CUT;
		}
		return (this.runs > 0) ? NextStep.FAIL : NextStep.REFUSE;
	}

}
