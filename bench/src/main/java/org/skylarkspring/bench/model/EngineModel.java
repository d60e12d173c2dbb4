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
 * Model of an engine with continuous batching. The duration of a step grows with the
 * batch and with prompt tokens to compute; memory is held in blocks, and when it fills
 * mid-decode the least urgent and youngest sequence is preempted and computed again
 * later; a cold engine is slow beyond a small batch. <pre class="code">
 * EngineModel engine = new EngineModel("e-1", EngineProfile.standard(), 7, 0, true);
 * engine.submit(job);
 * EngineStep step = engine.step(nowMillis);
 * </pre> Owns no clock or thread.
 */
public final class EngineModel {

	/** Slow-down of a cold engine for each time its batch exceeds what it bears. */
	private static final double COLD_SLOWDOWN = 1.5;

	/** Multiple of the bearable batch at which a cold engine fails. */
	private static final int COLD_FAILURE_MULTIPLE = 4;

	private static final double STEP_AVERAGE_WEIGHT = 0.1;

	private static final Comparator<EngineSequence> URGENT_FIRST = Comparator
		.comparingInt((EngineSequence sequence) -> sequence.job.priority())
		.thenComparingLong((sequence) -> sequence.arrival);

	private final String serverId;

	private final EngineProfile profile;

	private final PrefixCache prefixes;

	private final Map<String, EngineSequence> running = new LinkedHashMap<>();

	private final Map<String, EngineSequence> waiting = new HashMap<>();

	private final long incarnation;

	private long arrivals;

	private long preemptions;

	private long preemptedTokens;

	private double averageStepMillis;

	private double warmMillis;

	private boolean failed;

	private String modelVersion = "v1";

	private long loadingUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates an engine.
	 * @param serverId name of the server
	 * @param profile speed and memory
	 * @param seed seed of all random choices
	 * @param incarnation number that rises when the server restarts
	 * @param warm whether the engine starts warm
	 */
	public EngineModel(String serverId, EngineProfile profile, long seed, long incarnation, boolean warm) {
		this.serverId = serverId;
		this.profile = profile;
		this.prefixes = new PrefixCache(new SplittableRandom(seed), profile.cacheEventLossRatio());
		this.incarnation = incarnation;
		this.warmMillis = warm ? profile.warmupMillis() : 0;
	}

	/**
	 * Queues a generation.
	 * @param job the generation, not {@code null}
	 */
	public void submit(EngineJob job) {
		EngineSequence sequence = new EngineSequence(job, this.arrivals++);
		this.waiting.put(job.jobId(), sequence);
	}

	/**
	 * Removes a generation.
	 * @param jobId name of the generation
	 */
	public void cancel(String jobId) {
		this.waiting.remove(jobId);
		EngineSequence sequence = this.running.remove(jobId);
		if (sequence != null) {
			free(sequence);
		}
	}

	/**
	 * Loads a model version; the engine is cold afterwards.
	 * @param version the version
	 * @param nowMillis start of the load
	 * @param durationMillis duration of the load
	 */
	public void load(String version, long nowMillis, long durationMillis) {
		this.modelVersion = version;
		this.loadingUntilMillis = nowMillis + durationMillis;
		this.warmMillis = 0;
	}

	/** Makes the engine cold again without a restart. */
	public void turnCold() {
		this.warmMillis = 0;
	}

	/**
	 * Returns whether there is anything to compute.
	 * @return {@code false} if the engine is idle
	 */
	public boolean busy() {
		return !this.running.isEmpty() || !this.waiting.isEmpty();
	}

	/**
	 * Returns whether a cold engine has fallen over under its load.
	 * @return {@code true} if it must be restarted
	 */
	public boolean failed() {
		return this.failed;
	}

	/**
	 * Computes one decode step.
	 * @return duration and tokens of the step
	 */
	public EngineStep step() {
		admitWaiting();
		int prefillTokens = prefill();
		List<EngineStep.ProducedToken> tokens = decode();
		double duration = this.profile.baseStepMillis() + this.profile.perSequenceMillis() * this.running.size()
				+ this.profile.perPrefillTokenMillis() * prefillTokens;
		duration *= coldFactor();
		warmUp(duration);
		this.averageStepMillis = (this.averageStepMillis > 0)
				? this.averageStepMillis + STEP_AVERAGE_WEIGHT * (duration - this.averageStepMillis) : duration;
		finishSequences();
		return new EngineStep(duration, tokens);
	}

	/**
	 * Returns the load at this moment.
	 * @param nowMillis time of the readings
	 * @return the report
	 */
	public LoadReport report(long nowMillis) {
		return new LoadReport(this.serverId, this.incarnation, nowMillis, this.running.size(), this.waiting.size(),
				usedBlocks(), this.profile.totalBlocks(), this.profile.blockTokens(),
				this.running.isEmpty() ? 0 : this.averageStepMillis, this.preemptions, this.modelVersion,
				nowMillis < this.loadingUntilMillis);
	}

	/**
	 * Returns changes of the prefix cache, with gaps.
	 * @param known sequence number of the last change known
	 * @return changes in order
	 */
	public List<CacheNotice> cacheChangesAfter(long known) {
		return this.prefixes.changesAfter(known)
			.stream()
			.map((change) -> new CacheNotice(change.sequence(), change.prefixHash(), change.cached()))
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
	 * Returns the tokens that had to be computed again after preemptions.
	 * @return number of tokens
	 */
	public long preemptedTokens() {
		return this.preemptedTokens;
	}

	private boolean cold() {
		return this.warmMillis < this.profile.warmupMillis();
	}

	private double coldFactor() {
		if (!cold() || this.running.size() <= bearableBatch()) {
			return 1;
		}
		double excess = this.running.size() / (double) bearableBatch();
		if (excess > COLD_FAILURE_MULTIPLE) {
			this.failed = true;
		}
		return 1 + COLD_SLOWDOWN * (excess - 1);
	}

	private int bearableBatch() {
		double warmth = this.warmMillis / Math.max(1, this.profile.warmupMillis());
		return (int) (this.profile.coldBatch()
				+ warmth * Math.max(0, this.profile.maximumBatch() - this.profile.coldBatch()));
	}

	private void warmUp(double durationMillis) {
		if (!this.running.isEmpty() && this.running.size() <= bearableBatch()) {
			this.warmMillis += durationMillis;
		}
	}

	private void admitWaiting() {
		List<EngineSequence> urgentFirst = this.waiting.values().stream().sorted(URGENT_FIRST).toList();
		for (EngineSequence sequence : urgentFirst) {
			if (this.running.size() >= this.profile.maximumBatch() || !start(sequence)) {
				return;
			}
			this.waiting.remove(sequence.job.jobId());
			this.running.put(sequence.job.jobId(), sequence);
		}
	}

	private boolean start(EngineSequence sequence) {
		EngineJob job = sequence.job;
		boolean prefixed = job.prefixHash() != 0;
		boolean hit = prefixed && this.prefixes.contains(job.prefixHash());
		int prefixBlocks = prefixed ? job.prefixTokens() / this.profile.blockTokens() : 0;
		int ownBlocks = blocks(sequence.contextTokens() + 1) - prefixBlocks;
		if (!makeRoom(ownBlocks + (hit ? 0 : prefixBlocks))) {
			return false;
		}
		if (prefixed) {
			this.prefixes.use(job.prefixHash(), prefixBlocks);
		}
		sequence.sharesPrefix = prefixed;
		sequence.ownBlocks = ownBlocks;
		sequence.pendingPrefillTokens = sequence.contextTokens() - (hit ? job.prefixTokens() : 0);
		return true;
	}

	private int prefill() {
		int budget = this.profile.maximumPrefillTokens();
		for (EngineSequence sequence : this.running.values()) {
			int computed = Math.min(budget, sequence.pendingPrefillTokens);
			sequence.pendingPrefillTokens -= computed;
			budget -= computed;
		}
		return this.profile.maximumPrefillTokens() - budget;
	}

	private List<EngineStep.ProducedToken> decode() {
		List<EngineStep.ProducedToken> tokens = new ArrayList<>();
		for (EngineSequence sequence : List.copyOf(this.running.values())) {
			boolean stillRunning = this.running.containsKey(sequence.job.jobId());
			if (stillRunning && sequence.pendingPrefillTokens <= 0 && grow(sequence)) {
				tokens.add(new EngineStep.ProducedToken(sequence.job.jobId(), sequence.producedTokens,
						sequence.producedTokens + 1 >= sequence.job.outputTokens()));
				sequence.producedTokens++;
			}
		}
		return tokens;
	}

	private boolean grow(EngineSequence sequence) {
		int prefixBlocks = sequence.sharesPrefix ? sequence.job.prefixTokens() / this.profile.blockTokens() : 0;
		int needed = blocks(sequence.contextTokens() + 1) - prefixBlocks - sequence.ownBlocks;
		if (needed <= 0) {
			return true;
		}
		while (!makeRoom(needed)) {
			EngineSequence victim = this.running.values().stream().max(URGENT_FIRST).orElseThrow();
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
		this.preemptedTokens += victim.contextTokens();
		this.running.remove(victim.job.jobId());
		free(victim);
		this.waiting.put(victim.job.jobId(), victim);
	}

	private void free(EngineSequence sequence) {
		sequence.ownBlocks = 0;
		if (sequence.sharesPrefix) {
			this.prefixes.release(sequence.job.prefixHash());
			sequence.sharesPrefix = false;
		}
	}

	private void finishSequences() {
		List<EngineSequence> finished = this.running.values().stream().filter(EngineSequence::finished).toList();
		finished.forEach((sequence) -> {
			this.running.remove(sequence.job.jobId());
			free(sequence);
		});
	}

	private boolean makeRoom(int neededBlocks) {
		while (allocatedBlocks() + neededBlocks > this.profile.totalBlocks()) {
			if (this.prefixes.evictOne() == 0) {
				return false;
			}
		}
		return true;
	}

	private int allocatedBlocks() {
		return this.running.values().stream().mapToInt((sequence) -> sequence.ownBlocks).sum() + this.prefixes.blocks();
	}

	private int usedBlocks() {
		return this.running.values().stream().mapToInt((sequence) -> sequence.ownBlocks).sum()
				+ this.prefixes.usedBlocks();
	}

	private int blocks(int tokens) {
		return (tokens + this.profile.blockTokens() - 1) / this.profile.blockTokens();
	}

	/**
	 * A change of the prefix cache.
	 *
	 * @param sequence number of the change
	 * @param prefixHash hash of the prefix
	 * @param cached whether the prefix is cached after the change
	 */
	public record CacheNotice(long sequence, long prefixHash, boolean cached) {
	}

}
