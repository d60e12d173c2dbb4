package org.skylarkspring.core.policy;

/**
 * Ready-made admission rules.
 */
public final class AdmissionRules {

	/** Part of the memory that promises may fill. */
	private static final double MAXIMUM_MEMORY_FRACTION = 0.95;

	/**
	 * Multiple of an even share of the free places that one instance may take between two
	 * reports.
	 */
	private static final double FAIR_SHARE_MULTIPLE = 2;

	/** Part of the limits that requests with deadlines may fill. */
	private static final double DEADLINE_CLASS_LIMIT_FRACTION = 0.93;

	private AdmissionRules() {
	}

	/**
	 * Like {@link #withinLimits()}, but keeps a part of each server for the interactive
	 * class.
	 * @return the rule
	 */
	public static AdmissionRule withinLimitsByWorkClass() {
		return (view) -> withinLimits(view, view.interactive() ? 1 : DEADLINE_CLASS_LIMIT_FRACTION);
	}

	/**
	 * Admits while concurrency and memory stay within their limits and this instance
	 * takes no more than its part of the free places between two reports.
	 * @return the rule
	 */
	public static AdmissionRule withinLimits() {
		return (view) -> withinLimits(view, 1);
	}

	/**
	 * Admits always and lets the engine queue.
	 * @return the rule
	 */
	public static AdmissionRule always() {
		return (view) -> true;
	}

	private static boolean withinLimits(PlacementView view, double part) {
		return isWithinConcurrencyLimit(view, part) && isWithinMemoryLimit(view, part) && isWithinFairShare(view);
	}

	// A server always takes one request, however small its limit.
	private static boolean isWithinConcurrencyLimit(PlacementView view, double part) {
		return view.projectedRunning() + 1 <= Math.max(1, part * view.concurrencyLimit());
	}

	private static boolean isWithinMemoryLimit(PlacementView view, double part) {
		boolean empty = view.projectedRunning() < 1;
		return empty || view.memoryFraction() <= part * MAXIMUM_MEMORY_FRACTION;
	}

	private static boolean isWithinFairShare(PlacementView view) {
		double free = view.concurrencyLimit() - view.projectedRunning() + view.unreportedPlacements();
		double allowed = Math.max(1, FAIR_SHARE_MULTIPLE * free / Math.max(1, view.entryInstances()));
		return view.unreportedPlacements() < allowed;
	}

}
