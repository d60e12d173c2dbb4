package org.skylarkspring.gateway.policy;

/**
 * Timeouts of one attempt to serve a request, derived from the target latency of the
 * route and the time that the caller still waits, so that another server can be tried
 * while the response is still useful.
 */
public final class AttemptTimeouts {

	/** Below it, a busy processor of this instance looks like an unreachable server. */
	private static final long MINIMUM_CONNECT_TIMEOUT_MILLIS = 50;

	/** Hundred times the round trip between data centres. */
	private static final long MAXIMUM_CONNECT_TIMEOUT_MILLIS = 250;

	/** Share of the target latency that a connection may take to be established. */
	private static final double CONNECT_SHARE = 1.0 / 3;

	/** Shares of the target latency between which the response timeout lies. */
	private static final double MINIMUM_RESPONSE_SHARE = 0.5;

	private static final double MAXIMUM_RESPONSE_SHARE = 2;

	/** Share of the remaining time that an attempt may use if another one can follow. */
	private static final double REMAINING_SHARE = 0.5;

	/**
	 * Share of the remaining time, and its bounds, by which the final response precedes
	 * the deadline, so that it arrives while the caller still waits.
	 */
	private static final double FINAL_RESPONSE_SHARE = 0.02;

	private static final long MINIMUM_FINAL_RESPONSE_MARGIN_MILLIS = 20;

	private static final long MAXIMUM_FINAL_RESPONSE_MARGIN_MILLIS = 100;

	/** Time that it takes to end one request on a busy processor. */
	private static final long MILLIS_PER_FINAL_RESPONSE = 1;

	/** Limit of the margin if many requests are due, relative to that of one. */
	private static final int MAXIMUM_MARGIN_FACTOR = 2;

	private AttemptTimeouts() {
	}

	/**
	 * Returns the time after which a connection attempt is given up.
	 * @param targetLatencyMillis target latency of the route
	 * @param remainingMillis time until the caller's deadline
	 * @return the timeout in milliseconds, at least 1
	 */
	public static long connectTimeoutMillis(long targetLatencyMillis, long remainingMillis) {
		long share = Math.round(CONNECT_SHARE * targetLatencyMillis);
		long timeout = Math.max(MINIMUM_CONNECT_TIMEOUT_MILLIS, Math.min(MAXIMUM_CONNECT_TIMEOUT_MILLIS, share));
		return Math.max(1, Math.min(timeout, Math.round(REMAINING_SHARE * remainingMillis)));
	}

	/**
	 * Returns the time after which a request without a complete response gets its final
	 * response. Requests that are due together are ended one after the other and thus
	 * begin earlier.
	 * @param remainingMillis time until the caller's deadline
	 * @param othersDue number of other requests that are due at about the same time
	 * @return the time in milliseconds, at least 1
	 */
	public static long finalResponseMillis(long remainingMillis, int othersDue) {
		long single = Math.max(MINIMUM_FINAL_RESPONSE_MARGIN_MILLIS,
				Math.round(FINAL_RESPONSE_SHARE * remainingMillis));
		long margin = Math.min(single + MILLIS_PER_FINAL_RESPONSE * othersDue, MAXIMUM_MARGIN_FACTOR * single);
		return Math.max(1, remainingMillis - Math.min(MAXIMUM_FINAL_RESPONSE_MARGIN_MILLIS, margin));
	}

	/**
	 * Returns the time after which a retryable request without a response is sent to
	 * another server.
	 * @param targetLatencyMillis target latency of the route
	 * @param usualResponseMillis time within which the service usually responds, negative
	 * if unknown
	 * @param remainingMillis time until the caller's deadline
	 * @return the timeout in milliseconds, at least 1
	 */
	public static long responseTimeoutMillis(long targetLatencyMillis, double usualResponseMillis,
			long remainingMillis) {
		double usual = (usualResponseMillis < 0) ? targetLatencyMillis : usualResponseMillis;
		double timeout = Math.max(MINIMUM_RESPONSE_SHARE * targetLatencyMillis,
				Math.min(MAXIMUM_RESPONSE_SHARE * targetLatencyMillis, usual));
		return Math.max(1, Math.round(Math.min(timeout, REMAINING_SHARE * remainingMillis)));
	}

}
