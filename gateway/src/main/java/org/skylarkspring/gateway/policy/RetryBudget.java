package org.skylarkspring.gateway.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This instance's share of the arrivals that a service may get beyond the first of each
 * request, in any window of a given length. Requests count for half a window, so that
 * those a repeat was allowed for lie together within the window, the one before it or the
 * one half a window before.
 */
public final class RetryBudget {

	private final long windowMillis;

	private final double ratio;

	private final double extra;

	private final Deque<Long> requests = new ArrayDeque<>();

	private final Deque<Long> repeats = new ArrayDeque<>();

	/**
	 * Creates a budget.
	 * @param windowMillis length of the window
	 * @param ratio repeats allowed for each request in the window
	 * @param extra repeats allowed besides, for all instances together
	 */
	public RetryBudget(long windowMillis, double ratio, double extra) {
		this.windowMillis = windowMillis;
		this.ratio = ratio;
		this.extra = extra;
	}

	/**
	 * Counts a request.
	 * @param nowMillis time of its arrival
	 */
	public void requested(long nowMillis) {
		forget(this.requests, nowMillis - this.windowMillis / 2);
		this.requests.addLast(nowMillis);
	}

	/**
	 * Returns the number of requests and repeats that are remembered.
	 * @return the number, bounded by what comes in a window
	 */
	int remembered() {
		return this.requests.size() + this.repeats.size();
	}

	/**
	 * Takes a repeat from the budget if there is one left.
	 * @param nowMillis time of the repeat
	 * @param instances number of instances that share the budget, at least 1
	 * @return whether the repeat may be sent
	 */
	public boolean tryRepeat(long nowMillis, int instances) {
		forget(this.requests, nowMillis - this.windowMillis / 2);
		forget(this.repeats, nowMillis - this.windowMillis);
		double allowed = this.ratio * this.requests.size() + this.extra / instances;
		if (this.repeats.size() + 1 > allowed) {
			return false;
		}
		this.repeats.addLast(nowMillis);
		return true;
	}

	private static void forget(Deque<Long> times, long beforeMillis) {
		while (!times.isEmpty() && times.peekFirst() < beforeMillis) {
			times.removeFirst();
		}
	}

}
