package org.skylarkspring.gateway.model;

/**
 * What a response says about how long work takes on its server at this moment.
 */
public sealed interface ReportedPace {

	/** The response says nothing about it. */
	record None() implements ReportedPace {
	}

	/**
	 * The response names a duration.
	 *
	 * @param durationPercent how long work takes, in percent of the usual duration, above
	 * 0
	 */
	record Duration(int durationPercent) implements ReportedPace {
	}

	/**
	 * The response names something else, which is ignored.
	 *
	 * @param text the text
	 */
	record Invalid(String text) implements ReportedPace {
	}

}
