package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Notices that a data centre can't be reached, so that not each of its servers has to be
 * tried in vain.
 */
final class DataCentreReach {

	/** Time without another failure after which the data centre is tried again. */
	private static final long UNREACHED_MILLIS = 1_500;

	private final Map<String, Long> unreachedUntilMillis = new HashMap<>();

	void connected(String dataCentre) {
		this.unreachedUntilMillis.remove(dataCentre);
	}

	void timedOut(String dataCentre, long nowMillis) {
		this.unreachedUntilMillis.put(dataCentre, nowMillis + UNREACHED_MILLIS);
	}

	boolean unreached(String dataCentre, long nowMillis) {
		return nowMillis < this.unreachedUntilMillis.getOrDefault(dataCentre, Long.MIN_VALUE);
	}

}
