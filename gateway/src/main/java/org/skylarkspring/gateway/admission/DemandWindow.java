package org.skylarkspring.gateway.admission;

import java.util.Arrays;

/**
 * Sums over the requests that have ended within {@link DemandTable#WINDOW_MILLIS}, in
 * intervals of one second.
 */
final class DemandWindow {

	private static final int INTERVAL_MILLIS = 1_000;

	private static final int INTERVALS = DemandTable.WINDOW_MILLIS / INTERVAL_MILLIS;

	private final long[] intervalNumbers = new long[INTERVALS];

	private final Sums[] sums = new Sums[INTERVALS];

	DemandWindow() {
		Arrays.fill(this.sums, Sums.NONE);
	}

	void add(Sums added, long nowMillis) {
		long interval = Math.floorDiv(nowMillis, INTERVAL_MILLIS);
		int index = Math.floorMod(interval, INTERVALS);
		Sums current = (this.intervalNumbers[index] == interval) ? this.sums[index] : Sums.NONE;
		this.intervalNumbers[index] = interval;
		this.sums[index] = current.plus(added);
	}

	Sums total(long nowMillis) {
		long latest = Math.floorDiv(nowMillis, INTERVAL_MILLIS);
		Sums total = Sums.NONE;
		for (int index = 0; index < INTERVALS; index++) {
			boolean recent = latest - this.intervalNumbers[index] < INTERVALS;
			total = recent ? total.plus(this.sums[index]) : total;
		}
		return total;
	}

	/**
	 * Sums over ended requests.
	 *
	 * @param requests number of dispatched requests that have ended
	 * @param releasedTokens KV cache memory that these have released, in tokens
	 * @param generations number of completed generations of known length
	 * @param outputTokens sum of the lengths of these generations, in tokens
	 */
	record Sums(long requests, long releasedTokens, long generations, long outputTokens) {

		static final Sums NONE = new Sums(0, 0, 0, 0);

		Sums plus(Sums other) {
			return new Sums(this.requests + other.requests, this.releasedTokens + other.releasedTokens,
					this.generations + other.generations, this.outputTokens + other.outputTokens);
		}

	}

}
