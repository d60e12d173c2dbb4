package org.skylarkspring.core.policy;

/**
 * Predefined placement cost functions.
 */
public final class PlacementCosts {

	/** Prefix length in tokens from which a cached prefix receives the maximum bonus. */
	private static final double PREFIX_TOKENS_FOR_FULL_BONUS = 2_000;

	private static final double MAXIMUM_PREFIX_BONUS = 0.25;

	private static final double REMOTE_DATA_CENTRE_COST = 0.03;

	/**
	 * Weight of this instance's own requests, whose number is known without delay,
	 * against load reports.
	 */
	private static final double OWN_LOAD_WEIGHT = 0.6;

	private PlacementCosts() {
	}

	/**
	 * Like {@link #loadAndPrefix()}, but gives this instance's own requests more weight
	 * than the delayed load reports, so that instances do not all select the same server
	 * after the same report.
	 * @return the cost function
	 */
	public static PlacementCost ownLoadAndPrefix() {
		return (view) -> blendedLoad(view) - prefixBonus(view);
	}

	/**
	 * Prefers servers with the lowest used fraction of concurrency or memory, with a
	 * bonus for a prefix that is probably cached.
	 * @return the cost function
	 */
	public static PlacementCost loadAndPrefix() {
		return (view) -> load(view) - prefixBonus(view);
	}

	/**
	 * Like {@link #ownLoadAndPrefix()}, but ignores cached prefixes.
	 * @return the cost function
	 */
	public static PlacementCost ownLoad() {
		return PlacementCosts::blendedLoad;
	}

	/**
	 * Prefers the server to which this instance has sent no request for the longest time.
	 * @return the cost function
	 */
	public static PlacementCost roundRobin() {
		return PlacementView::lastPlacementNumber;
	}

	/**
	 * Prefers the server with the fewest requests of this instance.
	 * @return the cost function
	 */
	public static PlacementCost leastOutstanding() {
		return PlacementView::ownRunning;
	}

	private static double blendedLoad(PlacementView view) {
		double ownFraction = view.ownRunning() * Math.max(1, view.entryInstances()) / view.concurrencyLimit();
		return OWN_LOAD_WEIGHT * ownFraction + (1 - OWN_LOAD_WEIGHT) * load(view);
	}

	private static double load(PlacementView view) {
		double fraction = Math.max(view.concurrencyFraction(), view.memoryFraction());
		return view.sameDataCentre() ? fraction : fraction + REMOTE_DATA_CENTRE_COST;
	}

	private static double prefixBonus(PlacementView view) {
		double bonusFraction = Math.min(1, view.prefixTokens() / PREFIX_TOKENS_FOR_FULL_BONUS);
		return MAXIMUM_PREFIX_BONUS * bonusFraction * view.prefixLikelihood();
	}

}
