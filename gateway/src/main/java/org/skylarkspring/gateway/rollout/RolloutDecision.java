package org.skylarkspring.gateway.rollout;

/**
 * What the evidence of a rollout calls for.
 */
public sealed interface RolloutDecision {

	/**
	 * Returns the stage that the rollout is to have.
	 * @return the stage
	 */
	RolloutStage stage();

	/**
	 * Returns why, with figures.
	 * @return text for the log, the status and operators
	 */
	String reason();

	/**
	 * The stage remains.
	 *
	 * @param stage the present stage
	 * @param reason figures so far
	 */
	record Keep(RolloutStage stage, String reason) implements RolloutDecision {
	}

	/**
	 * The new version has shown no fault and the test is over.
	 *
	 * @param reason figures of the test
	 */
	record Promote(String reason) implements RolloutDecision {

		@Override
		public RolloutStage stage() {
			return RolloutStage.PROMOTING;
		}

	}

	/**
	 * The old servers may stop.
	 *
	 * @param reason whether anything still runs on them
	 */
	record Complete(String reason) implements RolloutDecision {

		@Override
		public RolloutStage stage() {
			return RolloutStage.COMPLETED;
		}

	}

	/**
	 * The new version is bad, or has not shown that it is good.
	 *
	 * @param reason what speaks against it
	 */
	record RollBack(String reason) implements RolloutDecision {

		@Override
		public RolloutStage stage() {
			return RolloutStage.ROLLED_BACK;
		}

	}

}
