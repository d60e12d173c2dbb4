package org.skylarkspring.bench.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.skylarkspring.core.model.LoadReport;

/**
 * Simulates an inference engine with continuous batching. The duration of a decode step
 * grows with the batch size and with the number of prompt tokens computed in it. Memory
 * is allocated in blocks; if none is free during decoding, the sequence with the lowest
 * priority, and among these the last to arrive, is preempted and recomputed later. A cold
 * engine slows down if its batch exceeds the size that it can sustain. <pre class="code">
 * EngineModel engine = new EngineModel("e-1", EngineProfile.standard(), 7, 0, true);
 * engine.submit(job);
 * EngineStep step = engine.step();
 * </pre> Has no clock and no thread; the code that uses it runs the steps and passes in
 * the current time.
 */
public final class EngineModel {

	/**
	 * Slowdown of a cold engine: if its batch is {@code n} times the sustainable size, a
	 * step takes {@code 1 + COLD_SLOWDOWN_FACTOR * (n - 1)} times as long.
	 */
	private static final double COLD_SLOWDOWN_FACTOR = 1.5;

	/** Multiple of the sustainable batch size above which a cold engine fails. */
	private static final int COLD_FAILURE_MULTIPLE = 4;

	private static final double STEP_AVERAGE_WEIGHT = 0.1;

	private static final Comparator<EngineSequence> MOST_URGENT_FIRST = Comparator
		.comparingInt((EngineSequence sequence) -> sequence.job.priority())
		.thenComparingLong((sequence) -> sequence.arrivalNumber);

	private final String serverId;

	private final EngineProfile profile;

	private final PrefixCache prefixCache;

	private final Map<String, EngineSequence> running = new LinkedHashMap<>();

	private final Map<String, EngineSequence> waiting = new HashMap<>();

	private final long incarnation;

	private long arrivalCount;

	private long preemptions;

	private long recomputedTokens;

	private double averageStepMillis;

	private double accumulatedWarmupMillis;

	private boolean failed;

	private String modelVersion = "v1";

	private long loadingUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates an engine.
	 * @param serverId identifier of the server
	 * @param profile speed and memory of the engine
	 * @param seed seed of the random number generator
	 * @param incarnation number that rises when the server restarts
	 * @param warm whether the engine starts warm
	 */
	public EngineModel(String serverId, EngineProfile profile, long seed, long incarnation, boolean warm) {
		this.serverId = serverId;
		this.profile = profile;
		this.prefixCache = new PrefixCache(new SplittableRandom(seed), profile.cacheEventLossRatio());
		this.incarnation = incarnation;
		this.accumulatedWarmupMillis = warm ? profile.warmupMillis() : 0;
	}

	/**
	 * Adds a generation to the waiting queue.
	 * @param job the generation, not {@code null}
	 */
	public void submit(EngineJob job) {
		EngineSequence sequence = new EngineSequence(job, this.arrivalCount++);
		this.waiting.put(job.jobId(), sequence);
	}

	/**
	 * Cancels a generation and frees its memory blocks; does nothing if it is unknown.
	 * @param jobId identifier of the generation
	 */
	public void cancel(String jobId) {
		this.waiting.remove(jobId);
		EngineSequence sequence = this.running.remove(jobId);
		if (sequence != null) {
			releaseBlocks(sequence);
		}
	}

	/**
	 * Loads a model version and makes the engine cold.
	 * @param version the model version
	 * @param nowMillis time at which loading starts, in milliseconds
	 * @param durationMillis time that loading takes, in milliseconds
	 */
	public void loadModelVersion(String version, long nowMillis, long durationMillis) {
		this.modelVersion = version;
		this.loadingUntilMillis = nowMillis + durationMillis;
		this.accumulatedWarmupMillis = 0;
	}

	/** Makes the engine cold without a restart. */
	public void resetToCold() {
		this.accumulatedWarmupMillis = 0;
	}

	/**
	 * Returns whether any generation is running or waiting.
	 * @return {@code false} if the engine is idle
	 */
	public boolean hasWork() {
		return !this.running.isEmpty() || !this.waiting.isEmpty();
	}

	/**
	 * Returns whether the engine has failed because its batch was too large while it was
	 * cold.
	 * @return {@code true} if the engine must be restarted
	 */
	public boolean hasFailed() {
		return this.failed;
	}

	/**
	 * Computes one decode step.
	 * @return duration of the step and the tokens it produced
	 */
	public EngineStep step() {
		admitWaitingSequences();
		int prefillTokens = computePrefill();
		List<EngineStep.ProducedToken> tokens = decodeTokens();
		double duration = this.profile.baseStepMillis() + this.profile.perSequenceMillis() * this.running.size()
				+ this.profile.perPrefillTokenMillis() * prefillTokens;
		duration *= coldSlowdownFactor();
		advanceWarmup(duration);
		this.averageStepMillis = (this.averageStepMillis > 0)
				? this.averageStepMillis + STEP_AVERAGE_WEIGHT * (duration - this.averageStepMillis) : duration;
		removeFinishedSequences();
		return new EngineStep(duration, tokens);
	}

	/**
	 * Returns a report of the current load.
	 * @param nowMillis current time in milliseconds, recorded in the report
	 * @return the report
	 */
	public LoadReport createReport(long nowMillis) {
		return new LoadReport(this.serverId, this.incarnation, nowMillis, this.running.size(), this.waiting.size(),
				usedBlocks(), this.profile.totalBlocks(), this.profile.blockTokens(),
				this.running.isEmpty() ? 0 : this.averageStepMillis, this.preemptions, this.modelVersion,
				nowMillis < this.loadingUntilMillis);
	}

	/**
	 * Returns the retained changes of the prefix cache after a given one. Some changes
	 * are missing: they are dropped at random at the rate
	 * {@link EngineProfile#cacheEventLossRatio()}, and only the most recent ones are
	 * retained.
	 * @param lastReceivedSequence sequence number of the last change that the reader has
	 * received
	 * @return the changes in ascending order of their sequence numbers
	 */
	public List<PrefixCacheChange> cacheChangesAfter(long lastReceivedSequence) {
		return this.prefixCache.changesAfter(lastReceivedSequence)
			.stream()
			.map((change) -> new PrefixCacheChange(change.sequence(), change.prefixHash(), change.cached()))
			.toList();
	}

	/**
	 * Returns the number of preemptions since the start.
	 * @return number of preemptions
	 */
	public long preemptions() {
		return this.preemptions;
	}

	/**
	 * Returns the number of tokens that had to be recomputed after preemptions.
	 * @return number of tokens
	 */
	public long recomputedTokens() {
		return this.recomputedTokens;
	}

	private boolean isCold() {
		return this.accumulatedWarmupMillis < this.profile.warmupMillis();
	}

	private double coldSlowdownFactor() {
		if (!isCold() || this.running.size() <= sustainableBatchSize()) {
			return 1;
		}
		double excess = this.running.size() / (double) sustainableBatchSize();
		if (excess > COLD_FAILURE_MULTIPLE) {
			this.failed = true;
		}
		return 1 + COLD_SLOWDOWN_FACTOR * (excess - 1);
	}

	private int sustainableBatchSize() {
		double warmupRatio = this.accumulatedWarmupMillis / Math.max(1, this.profile.warmupMillis());
		return (int) (this.profile.coldBatchSize()
				+ warmupRatio * Math.max(0, this.profile.maximumBatchSize() - this.profile.coldBatchSize()));
	}

	private void advanceWarmup(double durationMillis) {
		if (!this.running.isEmpty() && this.running.size() <= sustainableBatchSize()) {
			this.accumulatedWarmupMillis += durationMillis;
		}
	}

	private void admitWaitingSequences() {
		List<EngineSequence> waitingByUrgency = this.waiting.values().stream().sorted(MOST_URGENT_FIRST).toList();
		for (EngineSequence sequence : waitingByUrgency) {
			if (this.running.size() >= this.profile.maximumBatchSize() || !tryStart(sequence)) {
				return;
			}
			this.waiting.remove(sequence.job.jobId());
			this.running.put(sequence.job.jobId(), sequence);
		}
	}

	private boolean tryStart(EngineSequence sequence) {
		EngineJob job = sequence.job;
		boolean hasPrefix = job.prefixHash() != 0;
		boolean cacheHit = hasPrefix && this.prefixCache.contains(job.prefixHash());
		int prefixBlocks = hasPrefix ? job.prefixTokens() / this.profile.blockTokens() : 0;
		int ownBlocks = blocksFor(sequence.contextTokens() + 1) - prefixBlocks;
		if (!tryFreeBlocks(ownBlocks + (cacheHit ? 0 : prefixBlocks))) {
			return false;
		}
		if (hasPrefix) {
			this.prefixCache.acquire(job.prefixHash(), prefixBlocks);
		}
		sequence.sharesPrefix = hasPrefix;
		sequence.ownBlocks = ownBlocks;
		sequence.pendingPrefillTokens = sequence.contextTokens() - (cacheHit ? job.prefixTokens() : 0);
		return true;
	}

	private int computePrefill() {
		int budget = this.profile.maximumPrefillTokens();
		for (EngineSequence sequence : this.running.values()) {
			int computed = Math.min(budget, sequence.pendingPrefillTokens);
			sequence.pendingPrefillTokens -= computed;
			budget -= computed;
		}
		return this.profile.maximumPrefillTokens() - budget;
	}

	private List<EngineStep.ProducedToken> decodeTokens() {
		List<EngineStep.ProducedToken> tokens = new ArrayList<>();
		for (EngineSequence sequence : List.copyOf(this.running.values())) {
			boolean stillRunning = this.running.containsKey(sequence.job.jobId());
			if (stillRunning && sequence.pendingPrefillTokens <= 0 && tryAllocateNextToken(sequence)) {
				tokens.add(new EngineStep.ProducedToken(sequence.job.jobId(), sequence.producedTokens,
						sequence.producedTokens + 1 >= sequence.job.outputTokens()));
				sequence.producedTokens++;
			}
		}
		return tokens;
	}

	private boolean tryAllocateNextToken(EngineSequence sequence) {
		int prefixBlocks = sequence.sharesPrefix ? sequence.job.prefixTokens() / this.profile.blockTokens() : 0;
		int needed = blocksFor(sequence.contextTokens() + 1) - prefixBlocks - sequence.ownBlocks;
		if (needed <= 0) {
			return true;
		}
		while (!tryFreeBlocks(needed)) {
			EngineSequence victim = this.running.values().stream().max(MOST_URGENT_FIRST).orElseThrow();
			preempt(victim);
			if (victim == sequence) {
				return false;
			}
		}
		sequence.ownBlocks += needed;
		return true;
	}

	private void preempt(EngineSequence victim) {
		this.preemptions++;
		this.recomputedTokens += victim.contextTokens();
		this.running.remove(victim.job.jobId());
		releaseBlocks(victim);
		this.waiting.put(victim.job.jobId(), victim);
	}

	private void releaseBlocks(EngineSequence sequence) {
		sequence.ownBlocks = 0;
		if (sequence.sharesPrefix) {
			this.prefixCache.release(sequence.job.prefixHash());
			sequence.sharesPrefix = false;
		}
	}

	private void removeFinishedSequences() {
		List<EngineSequence> finished = this.running.values().stream().filter(EngineSequence::isFinished).toList();
		finished.forEach((sequence) -> {
			this.running.remove(sequence.job.jobId());
			releaseBlocks(sequence);
		});
	}

	private boolean tryFreeBlocks(int neededBlocks) {
		while (allocatedBlocks() + neededBlocks > this.profile.totalBlocks()) {
			if (this.prefixCache.evictLeastRecentlyUsed() == 0) {
				return false;
			}
		}
		return true;
	}

	private int allocatedBlocks() {
		return this.running.values().stream().mapToInt((sequence) -> sequence.ownBlocks).sum()
				+ this.prefixCache.totalBlocks();
	}

	private int usedBlocks() {
		return this.running.values().stream().mapToInt((sequence) -> sequence.ownBlocks).sum()
				+ this.prefixCache.usedBlocks();
	}

	private int blocksFor(int tokens) {
		return (tokens + this.profile.blockTokens() - 1) / this.profile.blockTokens();
	}

	/**
	 * A change of the prefix cache.
	 *
	 * @param sequence sequence number of the change
	 * @param prefixHash hash of the prefix
	 * @param cached whether the prefix is cached after the change
	 */
	public record PrefixCacheChange(long sequence, long prefixHash, boolean cached) {
	}

}
