package org.skylarkspring.bench.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Cache of prompt prefixes in an engine's memory. Unused prefixes are evicted in least
 * recently used order.
 */
final class PrefixCache {

	private static final int MAXIMUM_RETAINED_CHANGES = 256;

	private final Map<Long, CachedPrefix> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<CacheChange> changes = new ArrayDeque<>();

	private final SplittableRandom random;

	private final double eventLossRatio;

	private long lastSequence;

	private int totalBlocks;

	PrefixCache(SplittableRandom random, double eventLossRatio) {
		this.random = random;
		this.eventLossRatio = eventLossRatio;
	}

	boolean contains(long prefixHash) {
		return this.prefixes.containsKey(prefixHash);
	}

	void acquire(long prefixHash, int prefixBlocks) {
		CachedPrefix prefix = this.prefixes.get(prefixHash);
		if (prefix == null) {
			prefix = new CachedPrefix(prefixBlocks);
			this.prefixes.put(prefixHash, prefix);
			this.totalBlocks += prefixBlocks;
			recordChange(prefixHash, true);
		}
		prefix.referenceCount++;
	}

	void release(long prefixHash) {
		CachedPrefix prefix = this.prefixes.get(prefixHash);
		if (prefix != null) {
			prefix.referenceCount--;
		}
	}

	/**
	 * Evicts the unused prefix that was used least recently.
	 * @return number of blocks freed, 0 if all prefixes are in use
	 */
	int evictLeastRecentlyUsed() {
		Iterator<Map.Entry<Long, CachedPrefix>> leastRecentlyUsedFirst = this.prefixes.entrySet().iterator();
		while (leastRecentlyUsedFirst.hasNext()) {
			Map.Entry<Long, CachedPrefix> entry = leastRecentlyUsedFirst.next();
			if (entry.getValue().referenceCount == 0) {
				leastRecentlyUsedFirst.remove();
				this.totalBlocks -= entry.getValue().blocks;
				recordChange(entry.getKey(), false);
				return entry.getValue().blocks;
			}
		}
		return 0;
	}

	int totalBlocks() {
		return this.totalBlocks;
	}

	int usedBlocks() {
		return this.prefixes.values()
			.stream()
			.filter((prefix) -> prefix.referenceCount > 0)
			.mapToInt((p) -> p.blocks)
			.sum();
	}

	List<CacheChange> changesAfter(long lastReceivedSequence) {
		return this.changes.stream().filter((change) -> change.sequence() > lastReceivedSequence).toList();
	}

	private void recordChange(long prefixHash, boolean cached) {
		this.lastSequence++;
		if (this.random.nextDouble() >= this.eventLossRatio) {
			this.changes.addLast(new CacheChange(this.lastSequence, prefixHash, cached));
		}
		if (this.changes.size() > MAXIMUM_RETAINED_CHANGES) {
			this.changes.removeFirst();
		}
	}

	/**
	 * A change of the cache.
	 *
	 * @param sequence sequence number of the change
	 * @param prefixHash hash of the prefix
	 * @param cached whether the prefix is cached after the change
	 */
	record CacheChange(long sequence, long prefixHash, boolean cached) {
	}

	private static final class CachedPrefix {

		private final int blocks;

		private int referenceCount;

		private CachedPrefix(int blocks) {
			this.blocks = blocks;
		}

	}

}
