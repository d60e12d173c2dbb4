package org.skylarkspring.core.policy;

/**
 * Predefined admission rules.
 */
public final class AdmissionRules {

	/** Maximum fraction of the server's memory in use, including reservations. */
	private static final double MAXIMUM_MEMORY_FRACTION = 0.95;

	/**
	 * Multiple of an equal share of the free capacity that one instance may use between
	 * two load reports.
	 */
	private static final double FAIR_SHARE_MULTIPLE = 2;

	/** Maximum fraction of the limits that requests of the deadline class may use. */
	private static final double DEADLINE_CLASS_LIMIT_FRACTION = 0.93;

	private AdmissionRules() {
	}

	/**
	 * Like {@link #withinLimits()}, but reserves a part of each server for requests of
	 * the interactive class.
	 * @return the rule
	 */
	public static AdmissionRule withinLimitsByWorkClass() {
		return (view) -> withinLimits(view, view.interactive() ? 1 : DEADLINE_CLASS_LIMIT_FRACTION);
	}

	/**
	 * Admits a request if concurrency and memory stay within their limits and this
	 * instance does not exceed its share of the free capacity between two load reports.
	 * @return the rule
	 */
	public static AdmissionRule withinLimits() {
		return (view) -> withinLimits(view, 1);
	}

	/**
	 * Admits every request and leaves queueing to the engine.
	 * @return the rule
	 */
	public static AdmissionRule always() {
		return (view) -> true;
	}

	private static boolean withinLimits(PlacementView view, double fraction) {
		return isWithinConcurrencyLimit(view, fraction) && isWithinMemoryLimit(view, fraction)
				&& isWithinFairShare(view);
	}

	// An idle server always admits one request, however low its limit.
	private static boolean isWithinConcurrencyLimit(PlacementView view, double fraction) {
		return view.projectedRunning() + 1 <= Math.max(1, fraction * view.concurrencyLimit());
	}

	private static boolean isWithinMemoryLimit(PlacementView view, double fraction) {
		boolean empty = view.projectedRunning() < 1;
		return empty || view.memoryFraction() <= fraction * MAXIMUM_MEMORY_FRACTION;
	}

	private static boolean isWithinFairShare(PlacementView view) {
		double freeCapacity = view.concurrencyLimit() - view.projectedRunning() + view.unreportedPlacements();
		double allowed = Math.max(1, FAIR_SHARE_MULTIPLE * freeCapacity / Math.max(1, view.entryInstances()));
		return view.unreportedPlacements() < allowed;
	}

}
