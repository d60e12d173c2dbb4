package org.skylarkspring.gateway.pressure;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.Optional;

/**
 * Estimates which part of the heap a collection cannot free: what was left in the old
 * generation by its last collection, and the bodies and responses held in addition since.
 * The heap in use says little, because it includes garbage until the heap is full.
 */
public final class HeapSampler {

	/** Share of the heap in use, garbage included, below which nothing is examined. */
	private static final double EXAMINED_HEAP_SHARE = 0.6;

	/**
	 * The same as a share of the memory of the process, which holds more than the heap.
	 */
	private static final double EXAMINED_PROCESS_SHARE = 0.3;

	/** Part of the old generation that is always allowed. */
	private static final int MINIMUM_LIMIT_PARTS = 4;

	private final long processLimitBytes;

	private final long heapLimitBytes = Runtime.getRuntime().maxMemory();

	private final double examinedBytes;

	/** Pool of the old generation, {@code null} until it is examined. */
	private Optional<MemoryPoolMXBean> oldGeneration;

	private long liveAfterCollectionBytes;

	private long heldAtCollectionBytes;

	private long collectionMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates a sampler.
	 * @param processLimitBytes memory above which the process is killed, 0 if unknown
	 */
	public HeapSampler(long processLimitBytes) {
		this.processLimitBytes = processLimitBytes;
		double heapShare = EXAMINED_HEAP_SHARE * this.heapLimitBytes;
		this.examinedBytes = (processLimitBytes == 0) ? heapShare
				: Math.min(heapShare, EXAMINED_PROCESS_SHARE * processLimitBytes);
	}

	/**
	 * Takes a sample.
	 * @param bodyBytes bytes of request bodies held
	 * @param responseBytes bytes of responses held
	 * @param nowMillis current time in milliseconds
	 * @return the sample
	 */
	public MemorySample sample(long bodyBytes, long responseBytes, long nowMillis) {
		Runtime runtime = Runtime.getRuntime();
		long inUse = runtime.totalMemory() - runtime.freeMemory();
		if (inUse < this.examinedBytes || findOldGeneration().isEmpty()) {
			return new MemorySample(0, this.heapLimitBytes, bodyBytes, responseBytes, 0);
		}
		long heldBytes = bodyBytes + responseBytes;
		MemoryPoolMXBean pool = findOldGeneration().get();
		long left = pool.getCollectionUsage().getUsed();
		if (left != this.liveAfterCollectionBytes) {
			this.liveAfterCollectionBytes = left;
			this.heldAtCollectionBytes = heldBytes;
			this.collectionMillis = nowMillis;
		}
		long live = Math.max(0, left + heldBytes - this.heldAtCollectionBytes);
		return new MemorySample(Math.min(live, this.heapLimitBytes), limitBytes(pool.getUsage()), bodyBytes,
				responseBytes, nowMillis - this.collectionMillis);
	}

	private long limitBytes(MemoryUsage oldUsage) {
		long maximum = (oldUsage.getMax() > 0) ? oldUsage.getMax() : this.heapLimitBytes;
		if (this.processLimitBytes == 0) {
			return maximum;
		}
		long others = Runtime.getRuntime().totalMemory() - oldUsage.getCommitted()
				+ ManagementFactory.getMemoryMXBean().getNonHeapMemoryUsage().getCommitted() + bufferBytes();
		return Math.max(maximum / MINIMUM_LIMIT_PARTS, Math.min(maximum, this.processLimitBytes - others));
	}

	private static long bufferBytes() {
		return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)
			.stream()
			.mapToLong(BufferPoolMXBean::getTotalCapacity)
			.sum();
	}

	private Optional<MemoryPoolMXBean> findOldGeneration() {
		if (this.oldGeneration == null) {
			this.oldGeneration = ManagementFactory.getMemoryPoolMXBeans()
				.stream()
				.filter((pool) -> pool.getType() == MemoryType.HEAP && pool.getCollectionUsage() != null)
				.filter((pool) -> pool.getName().contains("Old Gen") || pool.getName().contains("Tenured"))
				.findFirst();
		}
		return this.oldGeneration;
	}

}
