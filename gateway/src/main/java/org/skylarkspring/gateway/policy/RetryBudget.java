package org.skylarkspring.gateway.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that this instance sends to a service in any window of a given
 * length. The limit is a share of the requests received plus this instance's part of a
 * fixed number of retries. Requests are counted for half a window only, so that the
 * requests that permit a retry all lie within one of the three windows whose requests the
 * platform compares with the retries: the current one, the one before it and the one half
 * a window before it.
 */
public final class RetryBudget {

	private final long windowMillis;

	private final double retryRatio;

	private final double fixedRetriesPerWindow;

	private final Deque<Long> requestTimesMillis = new ArrayDeque<>();

	private final Deque<Long> retryTimesMillis = new ArrayDeque<>();

	/**
	 * Creates a budget.
	 * @param windowMillis length of the window in milliseconds
	 * @param retryRatio retries allowed per request
	 * @param fixedRetriesPerWindow retries allowed per window in addition, shared by all
	 * instances
	 */
	public RetryBudget(long windowMillis, double retryRatio, double fixedRetriesPerWindow) {
		this.windowMillis = windowMillis;
		this.retryRatio = retryRatio;
		this.fixedRetriesPerWindow = fixedRetriesPerWindow;
	}

	/**
	 * Records the arrival of a request.
	 * @param nowMillis arrival time in milliseconds
	 */
	public void recordRequest(long nowMillis) {
		evictBefore(this.requestTimesMillis, nowMillis - this.windowMillis / 2);
		this.requestTimesMillis.addLast(nowMillis);
	}

	/**
	 * Returns the number of requests and retries whose times are stored.
	 * @return the number, at most the arrivals of one window
	 */
	int trackedCount() {
		return this.requestTimesMillis.size() + this.retryTimesMillis.size();
	}

	/**
	 * Acquires a retry from the budget if one is available.
	 * @param nowMillis current time in milliseconds
	 * @param instances number of instances that share the budget, at least 1
	 * @return whether the retry may be sent
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

	private static void evictBefore(Deque<Long> timesMillis, long thresholdMillis) {
		while (!timesMillis.isEmpty() && timesMillis.peekFirst() < thresholdMillis) {
			timesMillis.removeFirst();
		}
	}

}
