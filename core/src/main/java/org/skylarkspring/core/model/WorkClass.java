package org.skylarkspring.core.model;

/**
 * The aim that a workspace's generations are served with.
 */
public enum WorkClass {

	/** Answers are read as they stream; the time between tokens matters most. */
	INTERACTIVE(0),

	/** Answers must land before a deadline; stalls and preemptions matter most. */
	DEADLINE(1);

	private final int enginePriority;

	WorkClass(int enginePriority) {
		this.enginePriority = enginePriority;
	}

	/**
	 * Returns the priority given to the model engine.
	 * @return the priority, lower values run first
	 */
	public int enginePriority() {
		return this.enginePriority;
	}

}
