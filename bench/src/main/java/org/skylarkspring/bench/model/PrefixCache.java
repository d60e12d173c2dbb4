package org.skylarkspring.bench.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Prompt prefixes kept in an engine's memory, evicted in the order of their last use.
 */
final class PrefixCache {

	private static final int MAXIMUM_EVENTS = 256;

	private final Map<Long, CachedPrefix> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<CacheChange> changes = new ArrayDeque<>();

	private final SplittableRandom random;

	private final double lossRatio;

	private long sequence;

	private int blocks;

	PrefixCache(SplittableRandom random, double lossRatio) {
		this.random = random;
		this.lossRatio = lossRatio;
	}

	boolean contains(long prefixHash) {
		return this.prefixes.containsKey(prefixHash);
	}

	void use(long prefixHash, int prefixBlocks) {
		CachedPrefix prefix = this.prefixes.get(prefixHash);
		if (prefix == null) {
			prefix = new CachedPrefix(prefixBlocks);
			this.prefixes.put(prefixHash, prefix);
			this.blocks += prefixBlocks;
			changed(prefixHash, true);
		}
		prefix.users++;
	}

	void release(long prefixHash) {
		CachedPrefix prefix = this.prefixes.get(prefixHash);
		if (prefix != null) {
			prefix.users--;
		}
	}

	/**
	 * Evicts the unused prefix that was used least recently.
	 * @return number of blocks freed, 0 if every prefix is in use
	 */
	int evictOne() {
		Iterator<Map.Entry<Long, CachedPrefix>> oldestFirst = this.prefixes.entrySet().iterator();
		while (oldestFirst.hasNext()) {
			Map.Entry<Long, CachedPrefix> entry = oldestFirst.next();
			if (entry.getValue().users == 0) {
				oldestFirst.remove();
				this.blocks -= entry.getValue().blocks;
				changed(entry.getKey(), false);
				return entry.getValue().blocks;
			}
		}
		return 0;
	}

	int blocks() {
		return this.blocks;
	}

	int usedBlocks() {
		return this.prefixes.values().stream().filter((prefix) -> prefix.users > 0).mapToInt((p) -> p.blocks).sum();
	}

	List<CacheChange> changesAfter(long known) {
		return this.changes.stream().filter((change) -> change.sequence() > known).toList();
	}

	private void changed(long prefixHash, boolean cached) {
		this.sequence++;
		if (this.random.nextDouble() >= this.lossRatio) {
			this.changes.addLast(new CacheChange(this.sequence, prefixHash, cached));
		}
		if (this.changes.size() > MAXIMUM_EVENTS) {
			this.changes.removeFirst();
		}
	}

	/**
	 * A change of the cache.
	 *
	 * @param sequence number of the change
	 * @param prefixHash hash of the prefix
	 * @param cached whether the prefix is cached after the change
	 */
	record CacheChange(long sequence, long prefixHash, boolean cached) {
	}

	private static final class CachedPrefix {

		private final int blocks;

		private int users;

		private CachedPrefix(int blocks) {
			this.blocks = blocks;
		}

	}

}
