package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Notices that a data centre can't be reached, so that not each of its servers has to be
 * tried in vain.
 */
final class DataCentreReachabilityTracker {

	/** Time without another failure after which the data centre is tried again. */
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
