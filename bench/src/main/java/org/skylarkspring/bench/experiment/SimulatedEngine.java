package org.skylarkspring.bench.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.bench.model.EngineJob;
import org.skylarkspring.bench.model.EngineModel;
import org.skylarkspring.bench.model.EngineProfile;
import org.skylarkspring.bench.model.EngineStep;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.model.LoadReport;

/**
 * Simulates a model engine on the virtual clock. Its load reports are delayed when
 * polled.
 */
public final class SimulatedEngine {

	private static final long REPORT_INTERVAL_MICROS = 100 * VirtualClock.MICROS_PER_MILLI;

	private static final long REPORT_LAG_MILLIS = 300;

	private static final long MODEL_LOAD_MILLIS = 8_000;

	private static final long RESTART_DELAY_MICROS = 10_000 * VirtualClock.MICROS_PER_MILLI;

	private final VirtualClock clock;

	private final InstanceRecord instanceRecord;

	private final EngineProfile profile;

	private final long seed;

	private final Map<String, TokenListener> tokenListeners = new HashMap<>();

	private final Deque<LoadReport> reportHistory = new ArrayDeque<>();

	private EngineModel model;

	private boolean stepInProgress;

	private boolean alive = true;

	private long incarnation = 1;

	private long lastGenerationNumber;

	private long preemptionsBeforeRestart;

	private long crashCount;

	private int peakSequenceCount;

	private long submissions;

	private boolean ignoresCancellation;

	private boolean checksFencingNumber = true;

	private long highestFencingNumber;

	private long refusedCommands;

	SimulatedEngine(VirtualClock clock, String serverId, String pool, String dataCentre, EngineProfile profile,
			long seed) {
		this.clock = clock;
		this.instanceRecord = new InstanceRecord(serverId, InstanceRole.BACKEND, pool, dataCentre, serverId,
				InstanceState.LIVE);
		this.profile = profile;
		this.seed = seed;
		this.model = new EngineModel(serverId, profile, seed, this.incarnation, true);
		clock.schedulePeriodically(0, REPORT_INTERVAL_MICROS, this::recordReport);
	}

	InstanceRecord instanceRecord() {
		return this.instanceRecord;
	}

	/** Resets the engine to the cold state without a restart. */
	public void resetToCold() {
		this.model.resetToCold();
	}

	/**
	 * Crashes the engine, which restarts after a delay, cold and as a new incarnation.
	 * Does nothing while the engine is down.
	 */
	public void crash() {
		if (!this.alive) {
			return;
		}
		this.crashCount++;
		this.alive = false;
		this.preemptionsBeforeRestart += this.model.preemptions();
		List<TokenListener> disconnected = List.copyOf(this.tokenListeners.values());
		this.tokenListeners.clear();
		this.reportHistory.clear();
		disconnected.forEach(TokenListener::onDisconnect);
		this.clock.schedule(RESTART_DELAY_MICROS, this::restart);
	}

	/**
	 * Breaks the connections of all streams while the engine keeps running.
	 */
	public void disconnectStreams() {
		List.copyOf(this.tokenListeners.values()).forEach(TokenListener::onDisconnect);
	}

	/**
	 * Makes the engine ignore cancellations, so that it continues cancelled generations
	 * and still delivers their tokens.
	 */
	public void ignoreCancellation() {
		this.ignoresCancellation = true;
	}

	/** Makes the engine accept load commands with any fencing number. */
	public void ignoreFencingNumbers() {
		this.checksFencingNumber = false;
	}

	/**
	 * Handles a command to load a model version.
	 * @param fencingNumber fencing number of the lease holder that sent the command
	 * @param modelVersion model version to load
	 */
	public void handleLoadCommand(long fencingNumber, String modelVersion) {
		if (this.checksFencingNumber && fencingNumber < this.highestFencingNumber) {
			this.refusedCommands++;
			return;
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
		this.model.loadModelVersion(modelVersion, this.clock.nowMillis(), MODEL_LOAD_MILLIS);
	}

	/**
	 * Returns the number of load commands refused because of an outdated fencing number.
	 * @return number of refused commands
	 */
	public long refusedCommands() {
		return this.refusedCommands;
	}

	/**
	 * Returns the current load report.
	 * @return the report without delay
	 */
	public LoadReport currentReport() {
		return this.model.createReport(this.clock.nowMillis());
	}

	/**
	 * Returns the number of generations submitted since the start of the experiment.
	 * @return number of generations
	 */
	public long submissions() {
		return this.submissions;
	}

	/**
	 * Returns the number of crashes since the start of the experiment.
	 * @return number of crashes
	 */
	public long crashCount() {
		return this.crashCount;
	}

	/**
	 * Returns the number of preemptions since the start of the experiment.
	 * @return number of preemptions
	 */
	public long preemptions() {
		return this.preemptionsBeforeRestart + this.model.preemptions();
	}

	/**
	 * Returns the number of running and waiting sequences.
	 * @return number of sequences, 0 while the engine is down
	 */
	public int sequenceCount() {
		if (!this.alive) {
			return 0;
		}
		LoadReport report = this.model.createReport(0);
		return report.running() + report.waiting();
	}

	/**
	 * Returns the highest number of running and waiting sequences right after any
	 * submission since the last call, and resets it.
	 * @return number of sequences, 0 if nothing was submitted
	 */
	public int getAndResetPeakSequenceCount() {
		int highest = this.peakSequenceCount;
		this.peakSequenceCount = 0;
		return highest;
	}

	/**
	 * Starts a generation.
	 * @param job the generation; its id is replaced by one that the engine assigns
	 * @param listener receives the tokens
	 * @return id of the generation, empty if the engine is down
	 */
	Optional<String> submit(EngineJob job, TokenListener listener) {
		if (!this.alive) {
			return Optional.empty();
		}
		this.lastGenerationNumber++;
		this.submissions++;
		String generation = this.instanceRecord.instanceId() + "-" + this.incarnation + "-" + this.lastGenerationNumber;
		this.model.submit(new EngineJob(generation, job.promptTokens(), job.prefixHash(), job.prefixTokens(),
				job.outputTokens(), job.priority()));
		this.tokenListeners.put(generation, listener);
		this.peakSequenceCount = Math.max(this.peakSequenceCount, sequenceCount());
		stepIfIdle();
		return Optional.of(generation);
	}

	void cancel(String generation) {
		if (this.ignoresCancellation) {
			return;
		}
		this.tokenListeners.remove(generation);
		this.model.cancel(generation);
	}

	Optional<LoadReport> delayedReport() {
		return this.alive ? Optional.ofNullable(this.reportHistory.peekFirst()) : Optional.empty();
	}

	List<EngineModel.PrefixCacheChange> cacheChangesAfter(long lastSequence) {
		return this.alive ? this.model.cacheChangesAfter(lastSequence) : List.of();
	}

	private void restart() {
		this.incarnation++;
		this.model = new EngineModel(this.instanceRecord.instanceId(), this.profile, this.seed + this.incarnation,
				this.incarnation, false);
		this.alive = true;
	}

	private void recordReport() {
		if (!this.alive) {
			return;
		}
		this.reportHistory.addLast(this.model.createReport(this.clock.nowMillis()));
		while (this.reportHistory.size() > REPORT_LAG_MILLIS * VirtualClock.MICROS_PER_MILLI / REPORT_INTERVAL_MICROS) {
			this.reportHistory.removeFirst();
		}
	}

	private void stepIfIdle() {
		if (this.alive && !this.stepInProgress && this.model.hasWork()) {
			this.stepInProgress = true;
			EngineModel steppedModel = this.model;
			EngineStep step = steppedModel.step();
			this.clock.schedule((long) (step.durationMillis() * VirtualClock.MICROS_PER_MILLI),
					() -> handleStepCompleted(steppedModel, step));
		}
	}

	private void handleStepCompleted(EngineModel steppedModel, EngineStep step) {
		this.stepInProgress = false;
		if (steppedModel == this.model && this.alive) {
			step.tokens().forEach(this::deliverToken);
			if (steppedModel.hasFailed()) {
				crash();
			}
		}
		stepIfIdle();
	}

	private void deliverToken(EngineStep.ProducedToken token) {
		TokenListener listener = this.tokenListeners.get(token.jobId());
		if (listener != null) {
			if (token.last()) {
				this.tokenListeners.remove(token.jobId());
			}
			listener.onToken(token.jobId(), token.offset(), token.last());
		}
	}

	/**
	 * Receives the tokens of one generation.
	 */
	interface TokenListener {

		/**
		 * Called when the engine has produced a token.
		 * @param generation id of the generation
		 * @param offset offset of the token in the generation
		 * @param last whether it is the last token
		 */
		void onToken(String generation, int offset, boolean last);

		/** Called when the connection to the engine breaks. */
		void onDisconnect();

	}

}
