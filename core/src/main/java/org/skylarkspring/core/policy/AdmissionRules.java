package org.skylarkspring.core.policy;

/**
 * Ready-made admission rules.
 */
public final class AdmissionRules {

	/** Part of the memory that promises may fill. */
	private static final double MEMORY_CEILING = 0.95;

	/**
	 * Multiple of an even share of the free places that one instance may take between two
	 * reports.
	 */
	private static final double SHARE_MULTIPLE = 2;

	private AdmissionRules() {
	}

	/**
	 * Admits while concurrency and memory stay within their limits and this instance
	 * takes no more than its part of the free places between two reports.
	 * @return the rule
	 */
	public static AdmissionRule withinLimits() {
		return (view) -> view.concurrencyFraction() <= 1 && withinMemory(view) && withinShare(view);
	}

	/**
	 * Admits always and lets the engine queue.
	 * @return the rule
	 */
	public static AdmissionRule always() {
		return (view) -> true;
	}

	private static boolean withinMemory(PlacementView view) {
		boolean empty = view.projectedRunning() < 1;
		return empty || view.memoryFraction() <= MEMORY_CEILING;
	}

	private static boolean withinShare(PlacementView view) {
		double free = view.concurrencyLimit() - view.projectedRunning() + view.unreportedPlacements();
		double allowed = Math.max(1, SHARE_MULTIPLE * free / Math.max(1, view.entryInstances()));
		return view.unreportedPlacements() < allowed;
	}

}
