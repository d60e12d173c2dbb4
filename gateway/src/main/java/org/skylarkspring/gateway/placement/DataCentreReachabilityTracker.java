package org.skylarkspring.gateway.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks when connections to each data centre last succeeded, and which ones cannot be
 * reached, so that the gateway does not run into a connect timeout for each of their
 * servers.
 */
public final class DataCentreReachabilityTracker {

	/** Time after the last connect timeout before the data centre is tried again. */
	private static final long UNREACHABLE_DURATION_MILLIS = 1_500;

	private final Map<String, Long> unreachableUntilMillis = new HashMap<>();

	private final Map<String, Long> lastSuccessMillis = new HashMap<>();

	public void recordConnectSuccess(String dataCentre, long nowMillis) {
		this.unreachableUntilMillis.remove(dataCentre);
		this.lastSuccessMillis.put(dataCentre, nowMillis);
	}

	/**
	 * Returns the time since a connection to a data centre was established.
	 * @param dataCentre the data centre
	 * @param nowMillis current time in milliseconds
	 * @return the time in milliseconds, -1 if none ever was
	 */
	public long millisSinceSuccess(String dataCentre, long nowMillis) {
		Long last = this.lastSuccessMillis.get(dataCentre);
		return (last != null) ? nowMillis - last : -1;
	}

	public void recordConnectTimeout(String dataCentre, long nowMillis) {
		this.unreachableUntilMillis.put(dataCentre, nowMillis + UNREACHABLE_DURATION_MILLIS);
	}

	public boolean isUnreachable(String dataCentre, long nowMillis) {
		return nowMillis < this.unreachableUntilMillis.getOrDefault(dataCentre, Long.MIN_VALUE);
	}

}
