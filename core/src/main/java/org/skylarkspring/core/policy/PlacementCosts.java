package org.skylarkspring.core.policy;

/**
 * Ready-made placement costs.
 */
public final class PlacementCosts {

	/** Prefix length at which a cached prefix earns its whole bonus. */
	private static final double FULL_BONUS_PREFIX_TOKENS = 2_000;

	private static final double PREFIX_BONUS = 0.25;

	private static final double OTHER_DATA_CENTRE_COST = 0.03;

	private PlacementCosts() {
	}

	/**
	 * Prefers servers with the lowest used fraction of concurrency or memory, with a
	 * bonus for a prefix that is likely cached.
	 * @return the cost
	 */
	public static PlacementCost loadAndPrefix() {
		return (view) -> load(view) - prefixBonus(view);
	}

	/**
	 * Prefers servers with the lowest used fraction and ignores cached prefixes.
	 * @return the cost
	 */
	public static PlacementCost load() {
		return PlacementCosts::load;
	}

	/**
	 * Prefers the server that received no request for the longest time.
	 * @return the cost
	 */
	public static PlacementCost roundRobin() {
		return PlacementView::lastPlacement;
	}

	/**
	 * Prefers the server with the fewest requests of this instance.
	 * @return the cost
	 */
	public static PlacementCost leastOutstanding() {
		return PlacementView::ownRunning;
	}

	private static double load(PlacementView view) {
		double fraction = Math.max(view.concurrencyFraction(), view.memoryFraction());
		return view.sameDataCentre() ? fraction : fraction + OTHER_DATA_CENTRE_COST;
	}

	private static double prefixBonus(PlacementView view) {
		double size = Math.min(1, view.prefixTokens() / FULL_BONUS_PREFIX_TOKENS);
		return PREFIX_BONUS * size * view.prefixLikelihood();
	}

}
