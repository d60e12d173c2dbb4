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
 * A modelled engine on the virtual clock, with lagging load reports.
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

	private long refusedOrders;

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

	/** Makes the engine cold again without a restart. */
	public void resetToCold() {
		this.model.resetToCold();
	}

	/**
	 * Stops the engine, which comes back cold after a while as a new incarnation.
	 */
	public void crash() {
		if (!this.alive) {
			return;
		}
		this.crashCount++;
		this.alive = false;
		this.preemptionsBeforeRestart += this.model.preemptions();
		List<TokenListener> cut = List.copyOf(this.tokenListeners.values());
		this.tokenListeners.clear();
		this.reportHistory.clear();
		cut.forEach(TokenListener::onDisconnect);
		this.clock.schedule(RESTART_DELAY_MICROS, this::restart);
	}

	/**
	 * Breaks all connections; the engine itself goes on.
	 */
	public void disconnectStreams() {
		List.copyOf(this.tokenListeners.values()).forEach(TokenListener::onDisconnect);
	}

	/**
	 * Makes the engine go on with cancelled generations and send their tokens late.
	 */
	public void ignoreCancellation() {
		this.ignoresCancellation = true;
	}

	/** Makes the engine take orders with any fencing number. */
	public void ignoreFencingNumbers() {
		this.checksFencingNumber = false;
	}

	/**
	 * Takes an order to load a model version.
	 * @param fencingNumber number of the duty's holder
	 * @param modelVersion the version
	 */
	public void handleLoadOrder(long fencingNumber, String modelVersion) {
		if (this.checksFencingNumber && fencingNumber < this.highestFencingNumber) {
			this.refusedOrders++;
			return;
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
		this.model.loadModelVersion(modelVersion, this.clock.nowMillis(), MODEL_LOAD_MILLIS);
	}

	/**
	 * Returns the number of orders refused for an old fencing number.
	 * @return number of orders
	 */
	public long refusedOrders() {
		return this.refusedOrders;
	}

	/**
	 * Returns what the engine would report now.
	 * @return the report without lag
	 */
	public LoadReport currentReport() {
		return this.model.createReport(this.clock.nowMillis());
	}

	/**
	 * Returns the number of generations started since the start of the experiment.
	 * @return number of generations
	 */
	public long submissions() {
		return this.submissions;
	}

	/**
	 * Returns how often the engine has crashed.
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
	 * Returns the sequences in the engine, running and waiting.
	 * @return number of sequences
	 */
	public int sequenceCount() {
		if (!this.alive) {
			return 0;
		}
		LoadReport now = this.model.createReport(0);
		return now.running() + now.waiting();
	}

	/**
	 * Returns the most sequences that were in the engine at one time since the last call.
	 * @return number of sequences
	 */
	public int getAndResetPeakSequenceCount() {
		int highest = this.peakSequenceCount;
		this.peakSequenceCount = 0;
		return highest;
	}

	/**
	 * Starts a generation.
	 * @param job the generation; its name is replaced by one of the engine
	 * @param receiver receives the tokens
	 * @return name of the generation, empty if the engine is down
	 */
	Optional<String> submit(EngineJob job, TokenListener receiver) {
		if (!this.alive) {
			return Optional.empty();
		}
		this.lastGenerationNumber++;
		this.submissions++;
		String generation = this.instanceRecord.instanceId() + "-" + this.incarnation + "-" + this.lastGenerationNumber;
		this.model.submit(new EngineJob(generation, job.promptTokens(), job.prefixHash(), job.prefixTokens(),
				job.outputTokens(), job.priority()));
		this.tokenListeners.put(generation, receiver);
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

	List<EngineModel.PrefixCacheChange> cacheChangesAfter(long known) {
		return this.alive ? this.model.cacheChangesAfter(known) : List.of();
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
			EngineModel stepped = this.model;
			EngineStep step = stepped.step();
			this.clock.schedule((long) (step.durationMillis() * VirtualClock.MICROS_PER_MILLI),
					() -> handleStepCompleted(stepped, step));
		}
	}

	private void handleStepCompleted(EngineModel stepped, EngineStep step) {
		this.stepInProgress = false;
		if (stepped == this.model && this.alive) {
			step.tokens().forEach(this::deliverToken);
			if (stepped.hasFailed()) {
				crash();
			}
		}
		stepIfIdle();
	}

	private void deliverToken(EngineStep.ProducedToken token) {
		TokenListener receiver = this.tokenListeners.get(token.jobId());
		if (receiver != null) {
			if (token.last()) {
				this.tokenListeners.remove(token.jobId());
			}
			receiver.onToken(token.jobId(), token.offset(), token.last());
		}
	}

	/**
	 * Receives the tokens of one generation.
	 */
	interface TokenListener {

		/**
		 * A token was produced.
		 * @param generation name of the generation
		 * @param offset offset of the token
		 * @param last whether it is the last one
		 */
		void onToken(String generation, int offset, boolean last);

		/** The connection broke. */
		void onDisconnect();

	}

}
