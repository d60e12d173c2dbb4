package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks data centres that cannot be reached, so that the gateway does not run into a
 * connect timeout for each of their servers.
 */
final class DataCentreReachabilityTracker {

	/** Time after the last connect timeout before the data centre is tried again. */
	private static final long UNREACHABLE_DURATION_MILLIS = 1_500;

	private final Map<String, Long> unreachableUntilMillis = new HashMap<>();

	void recordConnectSuccess(String dataCentre) {
		this.unreachableUntilMillis.remove(dataCentre);
	}

	void recordConnectTimeout(String dataCentre, long nowMillis) {
		this.unreachableUntilMillis.put(dataCentre, nowMillis + UNREACHABLE_DURATION_MILLIS);
	}

	boolean isUnreachable(String dataCentre, long nowMillis) {
		return nowMillis < this.unreachableUntilMillis.getOrDefault(dataCentre, Long.MIN_VALUE);
	}

}
