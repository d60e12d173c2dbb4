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

	private final double retryRatio;

	private final double fixedRetriesPerWindow;

	private final Deque<Long> requestTimesMillis = new ArrayDeque<>();

	private final Deque<Long> retryTimesMillis = new ArrayDeque<>();

	/**
	 * Creates a budget.
	 * @param windowMillis length of the window
	 * @param retryRatio repeats allowed for each request in the window
	 * @param fixedRetriesPerWindow repeats allowed besides, for all instances together
	 */
	public RetryBudget(long windowMillis, double retryRatio, double fixedRetriesPerWindow) {
		this.windowMillis = windowMillis;
		this.retryRatio = retryRatio;
		this.fixedRetriesPerWindow = fixedRetriesPerWindow;
	}

	/**
	 * Counts a request.
	 * @param nowMillis time of its arrival
	 */
	public void recordRequest(long nowMillis) {
		evictBefore(this.requestTimesMillis, nowMillis - this.windowMillis / 2);
		this.requestTimesMillis.addLast(nowMillis);
	}

	/**
	 * Returns the number of requests and repeats that are remembered.
	 * @return the number, bounded by what comes in a window
	 */
	int trackedCount() {
		return this.requestTimesMillis.size() + this.retryTimesMillis.size();
	}

	/**
	 * Takes a repeat from the budget if there is one left.
	 * @param nowMillis time of the repeat
	 * @param instances number of instances that share the budget, at least 1
	 * @return whether the repeat may be sent
	 */
	public boolean tryAcquireRetry(long nowMillis, int instances) {
		evictBefore(this.requestTimesMillis, nowMillis - this.windowMillis / 2);
		evictBefore(this.retryTimesMillis, nowMillis - this.windowMillis);
		double allowed = this.retryRatio * this.requestTimesMillis.size() + this.fixedRetriesPerWindow / instances;
		if (this.retryTimesMillis.size() + 1 > allowed) {
			return false;
		}
		this.retryTimesMillis.addLast(nowMillis);
		return true;
	}

	private static void evictBefore(Deque<Long> times, long beforeMillis) {
		while (!times.isEmpty() && times.peekFirst() < beforeMillis) {
			times.removeFirst();
		}
	}

}
