package org.skylarkspring.gateway.policy;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Counts requests by their deadlines, in milliseconds of one clock.
 */
public final class DeadlineCounts {

	/** Time between two deadlines at which the requests are ended together. */
	private static final long TOGETHER_MILLIS = 50;

	private final NavigableMap<Long, Integer> counts = new TreeMap<>();

	/**
	 * Adds a request.
	 * @param deadlineMillis its deadline
	 */
	public void add(long deadlineMillis) {
		this.counts.merge(deadlineMillis, 1, Integer::sum);
	}

	/**
	 * Removes a request that was added.
	 * @param deadlineMillis its deadline
	 */
	public void remove(long deadlineMillis) {
		this.counts.computeIfPresent(deadlineMillis, (deadline, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Returns how many requests are due at about the same time.
	 * @param deadlineMillis the time
	 * @return number of requests
	 */
	public int dueTogether(long deadlineMillis) {
		return this.counts.subMap(deadlineMillis - TOGETHER_MILLIS, true, deadlineMillis + TOGETHER_MILLIS, true)
			.values()
			.stream()
			.mapToInt(Integer::intValue)
			.sum();
	}

}
