package org.skylarkspring.gateway.admission;

/**
 * Reason for an {@link AdmissionDecision}.
 */
public enum AdmissionReason {

	/** No eligible server is known, which the dispatch handles. */
	NO_SERVER("no-server"),

	/** An eligible server has memory and a slot for the request. */
	ROOM("room"),

	/** No server has room, but the request may wait and still be served in time. */
	NO_ROOM("no-room"),

	/** Engines queue requests, of which this one can still be served in time. */
	ENGINE_QUEUE("engine-queue"),

	/** The request cannot be served in time any more, but before its deadline. */
	LATE("late"),

	/** No server has room, and the workspace uses more than its fair share. */
	ABOVE_SHARE("above-share"),

	/** The service or its route no longer has a target latency that allows to wait. */
	NOT_APPLICABLE("not-applicable"),

	/** No server can complete the response before the deadline. */
	DEADLINE_UNREACHABLE("deadline-unreachable");

	private final String label;

	AdmissionReason(String label) {
		this.label = label;
	}

	/**
	 * Returns the name used in metrics and log lines.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
