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
public final class EngineActor {

	private static final long REPORT_PERIOD_MICROS = 100 * VirtualTime.MILLI;

	private static final long REPORT_LAG_MILLIS = 300;

	private static final long LOAD_MILLIS = 8_000;

	private static final long RESTART_MICROS = 10_000 * VirtualTime.MILLI;

	private final VirtualTime time;

	private final InstanceRecord listing;

	private final EngineProfile profile;

	private final long seed;

	private final Map<String, TokenReceiver> receivers = new HashMap<>();

	private final Deque<LoadReport> reports = new ArrayDeque<>();

	private EngineModel model;

	private boolean stepping;

	private boolean alive = true;

	private long incarnation = 1;

	private long lastGeneration;

	private long earlierPreemptions;

	private long failures;

	private int highestBatch;

	private long submissions;

	private boolean ignoresCancel;

	private boolean checksFencing = true;

	private long highestFencingNumber;

	private long refusedOrders;

	EngineActor(VirtualTime time, String serverId, String pool, String dataCentre, EngineProfile profile, long seed) {
		this.time = time;
		this.listing = new InstanceRecord(serverId, InstanceRole.BACKEND, pool, dataCentre, serverId,
				InstanceState.LIVE);
		this.profile = profile;
		this.seed = seed;
		this.model = new EngineModel(serverId, profile, seed, this.incarnation, true);
		time.every(0, REPORT_PERIOD_MICROS, this::remember);
	}

	InstanceRecord listing() {
		return this.listing;
	}

	/** Makes the engine cold again without a restart. */
	public void turnCold() {
		this.model.turnCold();
	}

	/**
	 * Stops the engine, which comes back cold after a while as a new incarnation.
	 */
	public void crash() {
		if (!this.alive) {
			return;
		}
		this.failures++;
		this.alive = false;
		this.earlierPreemptions += this.model.preemptions();
		List<TokenReceiver> cut = List.copyOf(this.receivers.values());
		this.receivers.clear();
		this.reports.clear();
		cut.forEach(TokenReceiver::cut);
		this.time.after(RESTART_MICROS, this::restart);
	}

	/**
	 * Breaks all connections; the engine itself goes on.
	 */
	public void cutStreams() {
		List.copyOf(this.receivers.values()).forEach(TokenReceiver::cut);
	}

	/**
	 * Makes the engine go on with cancelled generations and send their tokens late.
	 */
	public void ignoreCancel() {
		this.ignoresCancel = true;
	}

	/** Makes the engine take orders with any fencing number. */
	public void ignoreFencing() {
		this.checksFencing = false;
	}

	/**
	 * Takes an order to load a model version.
	 * @param fencingNumber number of the duty's holder
	 * @param modelVersion the version
	 */
	public void order(long fencingNumber, String modelVersion) {
		if (this.checksFencing && fencingNumber < this.highestFencingNumber) {
			this.refusedOrders++;
			return;
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
		this.model.load(modelVersion, this.time.nowMillis(), LOAD_MILLIS);
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
		return this.model.report(this.time.nowMillis());
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
	public long failures() {
		return this.failures;
	}

	/**
	 * Returns the number of preemptions since the start of the experiment.
	 * @return number of preemptions
	 */
	public long preemptions() {
		return this.earlierPreemptions + this.model.preemptions();
	}

	/**
	 * Returns the sequences in the engine, running and waiting.
	 * @return number of sequences
	 */
	public int load() {
		if (!this.alive) {
			return 0;
		}
		LoadReport now = this.model.report(0);
		return now.running() + now.waiting();
	}

	/**
	 * Returns the most sequences that were in the engine at one time since the last call.
	 * @return number of sequences
	 */
	public int takeHighestLoad() {
		int highest = this.highestBatch;
		this.highestBatch = 0;
		return highest;
	}

	/**
	 * Starts a generation.
	 * @param job the generation; its name is replaced by one of the engine
	 * @param receiver receives the tokens
	 * @return name of the generation, empty if the engine is down
	 */
	Optional<String> submit(EngineJob job, TokenReceiver receiver) {
		if (!this.alive) {
			return Optional.empty();
		}
		this.lastGeneration++;
		this.submissions++;
		String generation = this.listing.instanceId() + "-" + this.incarnation + "-" + this.lastGeneration;
		this.model.submit(new EngineJob(generation, job.promptTokens(), job.prefixHash(), job.prefixTokens(),
				job.outputTokens(), job.priority()));
		this.receivers.put(generation, receiver);
		this.highestBatch = Math.max(this.highestBatch, load());
		stepIfIdle();
		return Optional.of(generation);
	}

	void cancel(String generation) {
		if (this.ignoresCancel) {
			return;
		}
		this.receivers.remove(generation);
		this.model.cancel(generation);
	}

	Optional<LoadReport> laggingReport() {
		return this.alive ? Optional.ofNullable(this.reports.peekFirst()) : Optional.empty();
	}

	List<EngineModel.CacheNotice> cacheChangesAfter(long known) {
		return this.alive ? this.model.cacheChangesAfter(known) : List.of();
	}

	private void restart() {
		this.incarnation++;
		this.model = new EngineModel(this.listing.instanceId(), this.profile, this.seed + this.incarnation,
				this.incarnation, false);
		this.alive = true;
	}

	private void remember() {
		if (!this.alive) {
			return;
		}
		this.reports.addLast(this.model.report(this.time.nowMillis()));
		while (this.reports.size() > REPORT_LAG_MILLIS * VirtualTime.MILLI / REPORT_PERIOD_MICROS) {
			this.reports.removeFirst();
		}
	}

	private void stepIfIdle() {
		if (this.alive && !this.stepping && this.model.busy()) {
			this.stepping = true;
			EngineModel stepped = this.model;
			EngineStep step = stepped.step();
			this.time.after((long) (step.durationMillis() * VirtualTime.MILLI), () -> stepped(stepped, step));
		}
	}

	private void stepped(EngineModel stepped, EngineStep step) {
		this.stepping = false;
		if (stepped == this.model && this.alive) {
			step.tokens().forEach(this::produce);
			if (stepped.failed()) {
				crash();
			}
		}
		stepIfIdle();
	}

	private void produce(EngineStep.ProducedToken token) {
		TokenReceiver receiver = this.receivers.get(token.jobId());
		if (receiver != null) {
			if (token.last()) {
				this.receivers.remove(token.jobId());
			}
			receiver.token(token.jobId(), token.offset(), token.last());
		}
	}

	/**
	 * Receives the tokens of one generation.
	 */
	interface TokenReceiver {

		/**
		 * A token was produced.
		 * @param generation name of the generation
		 * @param offset offset of the token
		 * @param last whether it is the last one
		 */
		void token(String generation, int offset, boolean last);

		/** The connection broke. */
		void cut();

	}

}
