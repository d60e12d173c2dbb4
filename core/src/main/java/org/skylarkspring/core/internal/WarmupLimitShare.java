package org.skylarkspring.core.internal;

import java.util.Collection;

/**
 * Divides the limit of a warming server among entry instances that need not know each
 * other. Every instance of the server's own data centre may use an even part of half the
 * limit, computed from an upper bound of their number, also while the platform's store is
 * out. What remains is divided into seats, each guarded by a lease of its own, for
 * instances of any data centre. The sum over all instances never exceeds the limit.
 */
final class WarmupLimitShare {

	/** The even parts together take this fraction of the limit. */
	private static final int EVEN_SHARE_DIVISOR = 2;

	private WarmupLimitShare() {
	}

	/**
	 * Returns the requests one instance may have running on the server.
	 * @param limit requests the server bears in total
	 * @param maximumInstances upper bound of the number of entry instances in the
	 * server's data centre
	 * @param near whether the instance is in the server's data centre
	 * @param seats number of seats of the server
	 * @param heldSeats seats whose lease the instance holds, from 0
	 * @return number of requests
	 */
	static int computeShare(int limit, int maximumInstances, boolean near, int seats, Collection<Integer> heldSeats) {
		int even = limit / (EVEN_SHARE_DIVISOR * maximumInstances);
		int remainder = limit - maximumInstances * even;
		return (near ? even : 0) + heldSeats.stream().mapToInt((seat) -> (remainder + seat) / seats).sum();
	}

}
