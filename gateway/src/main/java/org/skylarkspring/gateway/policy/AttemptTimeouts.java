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
	 * response.
	 * @param remainingMillis time until the caller's deadline
	 * @return the time in milliseconds, at least 1
	 */
	public static long finalResponseMillis(long remainingMillis) {
		long margin = Math.max(MINIMUM_FINAL_RESPONSE_MARGIN_MILLIS,
				Math.min(MAXIMUM_FINAL_RESPONSE_MARGIN_MILLIS, Math.round(FINAL_RESPONSE_SHARE * remainingMillis)));
		return Math.max(1, remainingMillis - margin);
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
