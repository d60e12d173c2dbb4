package org.skylarkspring.core.internal;

import java.util.Collection;

/**
 * Divides the limit of a warming server among entry instances that need not know each
 * other. Every instance may use an even part of the limit, computed from an upper bound
 * of their number. What remains is divided into seats, each guarded by a lease of its
 * own. The sum over all instances never exceeds the limit.
 */
final class RampShare {

	private RampShare() {
	}

	/**
	 * Returns the requests one instance may have running on the server.
	 * @param limit requests the server bears in total
	 * @param maximumInstances upper bound of the number of entry instances
	 * @param seats number of seats of the server
	 * @param heldSeats seats whose lease the instance holds, from 0
	 * @return number of requests
	 */
	static int share(int limit, int maximumInstances, int seats, Collection<Integer> heldSeats) {
		int even = limit / maximumInstances;
		int remainder = limit - maximumInstances * even;
		return even + heldSeats.stream().mapToInt((seat) -> (remainder + seat) / seats).sum();
	}

}
