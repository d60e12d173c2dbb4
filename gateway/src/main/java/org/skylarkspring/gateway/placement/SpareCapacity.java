package org.skylarkspring.gateway.placement;

/**
 * Divides the memory of a data centre between its own instances and those of others.
 */
final class SpareCapacity {

	/** Share of the memory above which engines preempt requests. */
	private static final double USABLE_SHARE = 0.9;

	/**
	 * Growth of a data centre's own demand that is kept free: requests of others run for
	 * seconds, in which the own demand may rise.
	 */
	private static final double HOME_GROWTH = 1.15;

	private SpareCapacity() {
	}

	static long tokens(long capacityTokens, long homeTokens, long importedTokens) {
		double room = USABLE_SHARE * capacityTokens - HOME_GROWTH * homeTokens - importedTokens;
		return Math.max(0, (long) room);
	}

}
