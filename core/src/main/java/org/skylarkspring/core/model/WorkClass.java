package org.skylarkspring.core.model;

/**
 * Service objective of a workspace's generations.
 */
public enum WorkClass {

	/**
	 * Responses are read while they are streamed; the time between tokens has priority.
	 */
	INTERACTIVE(0),

	/**
	 * Responses must be complete before a deadline; avoiding stalls and preemptions has
	 * priority.
	 */
	DEADLINE(1);

	private final int enginePriority;

	WorkClass(int enginePriority) {
		this.enginePriority = enginePriority;
	}

	/**
	 * Returns the scheduling priority sent to the model engine.
	 * @return the priority, lower values run first
	 */
	public int enginePriority() {
		return this.enginePriority;
	}

}
