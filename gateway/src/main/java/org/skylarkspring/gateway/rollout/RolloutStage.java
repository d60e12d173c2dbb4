package org.skylarkspring.gateway.rollout;

/**
 * Stages of a rollout, in the order in which they can follow each other. The last two are
 * alternatives.
 */
public enum RolloutStage {

	/** A small share of the requests goes to the new version. */
	TESTING,

	/** New requests go to the new version, running generations migrate to it. */
	PROMOTING,

	/** The new version is the established one. */
	COMPLETED,

	/** The new version is bad and gets nothing. */
	ROLLED_BACK;

	/**
	 * Returns whether the rollout has ended.
	 * @return {@code true} if no other stage follows
	 */
	public boolean isFinal() {
		return this == COMPLETED || this == ROLLED_BACK;
	}

}
