package org.skylarkspring.core.internal;

import java.util.Collection;

/**
 * Divides the concurrency limit of a warming server among entry instances that do not
 * communicate with each other. Every instance in the server's own data centre may use an
 * equal share of half the limit, computed from an upper bound of their number, even while
 * the platform's store is unavailable. The remainder is divided into slots, each guarded
 * by its own lease, for instances of any data centre. The sum over all instances never
 * exceeds the limit.
 */
final class WarmupLimitShare {

	/** The equal shares together use at most the limit divided by this number. */
	private static final int EQUAL_SHARE_DIVISOR = 2;

	private WarmupLimitShare() {
	}

	/**
	 * Returns how many requests one instance may have running on the server.
	 * @param limit requests that may run on the server in total
	 * @param maximumInstances upper bound of the number of entry instances in the
	 * server's data centre
	 * @param sameDataCentre whether the instance is in the server's data centre
	 * @param slots number of slots of the server
	 * @param heldSlots indexes from 0 of the slots whose lease the instance holds
	 * @return number of requests
	 */
	static int computeShare(int limit, int maximumInstances, boolean sameDataCentre, int slots,
			Collection<Integer> heldSlots) {
		int equalShare = limit / (EQUAL_SHARE_DIVISOR * maximumInstances);
		int remainder = limit - maximumInstances * equalShare;
		return (sameDataCentre ? equalShare : 0)
				+ heldSlots.stream().mapToInt((slot) -> (remainder + slot) / slots).sum();
	}

}
