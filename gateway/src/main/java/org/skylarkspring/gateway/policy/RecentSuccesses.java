package org.skylarkspring.gateway.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers for a while, and for a limited number of keys, when a server last responded
 * to a request with that key.
 */
final class RecentSuccesses {

	private final Map<String, Long> millisByKey;

	private final long memoryMillis;

	/**
	 * Creates an empty memory.
	 * @param maximumKeys number of keys above which the oldest one is forgotten
	 * @param memoryMillis time for which a success counts as recent, in milliseconds
	 */
	RecentSuccesses(int maximumKeys, long memoryMillis) {
		this.memoryMillis = memoryMillis;
		this.millisByKey = new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
				return size() > maximumKeys;
			}

		};
	}

	void record(String key, long nowMillis) {
		this.millisByKey.remove(key);
		this.millisByKey.put(key, nowMillis);
	}

	boolean contains(String key, long nowMillis) {
		Long successMillis = this.millisByKey.get(key);
		return successMillis != null && nowMillis - successMillis < this.memoryMillis;
	}

}
