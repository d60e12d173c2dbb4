package org.skylarkspring.core.policy;

/**
 * Ready-made placement costs.
 */
public final class PlacementCosts {

	/** Prefix length at which a cached prefix earns its whole bonus. */
	private static final double PREFIX_TOKENS_FOR_FULL_BONUS = 2_000;

	private static final double MAXIMUM_PREFIX_BONUS = 0.25;

	private static final double REMOTE_DATA_CENTRE_COST = 0.03;

	/** Weight of this instance's own requests, which are known without lag. */
	private static final double OWN_LOAD_WEIGHT = 0.6;

	private PlacementCosts() {
	}

	/**
	 * Like {@link #loadAndPrefix()}, but counts this instance's own requests more than
	 * the lagging reports, so that instances do not all follow the same report.
	 * @return the cost
	 */
	public static PlacementCost ownLoadAndPrefix() {
		return (view) -> blendedLoad(view) - prefixBonus(view);
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
	 * Like {@link #ownLoadAndPrefix()}, but ignores cached prefixes.
	 * @return the cost
	 */
	public static PlacementCost ownLoad() {
		return PlacementCosts::blendedLoad;
	}

	/**
	 * Prefers the server that received no request for the longest time.
	 * @return the cost
	 */
	public static PlacementCost roundRobin() {
		return PlacementView::lastPlacementNumber;
	}

	/**
	 * Prefers the server with the fewest requests of this instance.
	 * @return the cost
	 */
	public static PlacementCost leastOutstanding() {
		return PlacementView::ownRunning;
	}

	private static double blendedLoad(PlacementView view) {
		double own = view.ownRunning() * Math.max(1, view.entryInstances()) / view.concurrencyLimit();
		return OWN_LOAD_WEIGHT * own + (1 - OWN_LOAD_WEIGHT) * load(view);
	}

	private static double load(PlacementView view) {
		double fraction = Math.max(view.concurrencyFraction(), view.memoryFraction());
		return view.sameDataCentre() ? fraction : fraction + REMOTE_DATA_CENTRE_COST;
	}

	private static double prefixBonus(PlacementView view) {
		double size = Math.min(1, view.prefixTokens() / PREFIX_TOKENS_FOR_FULL_BONUS);
		return MAXIMUM_PREFIX_BONUS * size * view.prefixLikelihood();
	}

}
