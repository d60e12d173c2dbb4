package org.skylarkspring.bench.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.bench.model.EngineJob;
import org.skylarkspring.core.DecisionCore;
import org.skylarkspring.core.TokenSequencer;
import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.action.ActionHandler;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.Verdict;

/**
 * An entry instance on the virtual clock: the decision core with engines and store at the
 * other end of its actions.
 */
public final class SimulatedEntryInstance implements ActionHandler {

	private static final long TICK_INTERVAL_MICROS = 20 * VirtualClock.MICROS_PER_MILLI;

	private static final long STEP_DELAY_MICROS = 200;

	private static final long NETWORK_LATENCY_MICROS = VirtualClock.MICROS_PER_MILLI / 2;

	private static final long PROGRESS_INTERVAL_MICROS = 100 * VirtualClock.MICROS_PER_MILLI;

	private final VirtualClock clock;

	private final DecisionCore core;

	private final Map<String, SimulatedEngine> engines;

	private final Map<String, SimulatedPlainService> plainServices;

	private final SimulatedStore store;

	private final MetricsRecorder recorder;

	private final Map<Long, OpenRequest> openRequests = new HashMap<>();

	private final Map<Long, OpenRequest> requestsByAttempt = new HashMap<>();

	private final Map<String, Long> lastCacheSequenceByServer = new HashMap<>();

	private List<Event> pendingEvents = new ArrayList<>();

	private boolean stepScheduled;

	private boolean alive = true;

	private long lastRequestId;

	SimulatedEntryInstance(VirtualClock clock, DecisionCore core, Map<String, SimulatedEngine> engines,
			Map<String, SimulatedPlainService> plainServices, SimulatedStore store, MetricsRecorder recorder,
			long pollMicros, long phaseMicros) {
		this.clock = clock;
		this.core = core;
		this.engines = engines;
		this.plainServices = plainServices;
		this.store = store;
		this.recorder = recorder;
		clock.schedulePeriodically(phaseMicros % TICK_INTERVAL_MICROS, TICK_INTERVAL_MICROS, this::step);
		clock.schedulePeriodically(phaseMicros % pollMicros, pollMicros, this::poll);
	}

	/**
	 * Returns the core, for reading.
	 * @return the core
	 */
	public DecisionCore core() {
		return this.core;
	}

	/**
	 * Hands an event to the core.
	 * @param event the event
	 */
	public void post(Event event) {
		this.pendingEvents.add(event);
		if (!this.stepScheduled) {
			this.stepScheduled = true;
			this.clock.schedule(STEP_DELAY_MICROS, () -> {
				this.stepScheduled = false;
				step();
			});
		}
	}

	/** Ends the instance at once; its callers' connections break. */
	public void kill() {
		this.alive = false;
		this.requestsByAttempt.values().forEach(OpenRequest::cancelGeneration);
		this.openRequests.values().forEach((request) -> this.recorder.recordDisconnect(request.request));
		this.openRequests.clear();
		this.requestsByAttempt.clear();
	}

	/**
	 * Returns whether the instance runs.
	 * @return {@code false} after {@link #kill()}
	 */
	public boolean isAlive() {
		return this.alive;
	}

	/**
	 * Takes a caller's request.
	 * @param request the request
	 * @param finished told the final answer; never called if the instance is killed first
	 */
	public void submit(SimulatedRequest request, MetricsRecorder.CompletionListener finished) {
		this.lastRequestId++;
		OpenRequest open = new OpenRequest(this.lastRequestId, request, this.clock.nowMicros(), finished);
		this.openRequests.put(this.lastRequestId, open);
		post(new Event.RequestArrived(this.lastRequestId, request.spec()));
	}

	@Override
	public void dispatch(Action.Dispatch action) {
		OpenRequest open = this.openRequests.get(action.requestId());
		if (open != null) {
			this.requestsByAttempt.put(action.attemptId(), open);
			open.dispatch(action);
		}
	}

	@Override
	public void cancelAttempt(Action.CancelAttempt action) {
		Optional.ofNullable(this.requestsByAttempt.remove(action.attemptId())).ifPresent(OpenRequest::cancelGeneration);
	}

	@Override
	public void finishRequest(Action.FinishRequest action) {
		OpenRequest open = this.openRequests.remove(action.requestId());
		if (open != null) {
			this.recorder.recordFinished(open.request, action.outcome(), open.tokenSequence.deliveredTokens(),
					this.clock.nowMicros() - open.arrivedMicros, open.firstTokenMicros);
			open.completionListener.onFinished(action.outcome());
		}
	}

	@Override
	public void storeWrite(Action.StoreWrite action) {
		this.store.write(action.key(), action.expectedVersion(), action.value(),
				(answer) -> post(new Event.StoreResponseReceived(action.operationId(), answer)));
	}

	@Override
	public void storeRead(Action.StoreRead action) {
		this.store.read(action.key(), (answer) -> post(new Event.StoreResponseReceived(action.operationId(), answer)));
	}

	@Override
	public void loadModel(Action.LoadModel action) {
		SimulatedEngine engine = this.engines.get(action.serverId());
		this.clock.schedule(NETWORK_LATENCY_MICROS,
				() -> engine.handleLoadOrder(action.fencingNumber(), action.modelVersion()));
	}

	@Override
	public void stateChanged(Action.StateChanged action) {
		this.recorder.recordStateChange();
	}

	@Override
	public void shutdownComplete(Action.ShutdownComplete action) {
		this.alive = false;
	}

	private void step() {
		if (!this.alive) {
			return;
		}
		List<Event> events = this.pendingEvents;
		this.pendingEvents = new ArrayList<>();
		this.core.step(events, this.clock.nowMillis()).forEach((action) -> action.accept(this));
	}

	private void poll() {
		if (this.alive) {
			this.core.polledServers().forEach(this::poll);
		}
	}

	private void poll(InstanceRecord server) {
		SimulatedEngine engine = this.engines.get(server.instanceId());
		if (engine == null) {
			this.plainServices.get(server.instanceId())
				.loadReport()
				.ifPresent((report) -> post(new Event.LoadReported(report)));
			return;
		}
		engine.delayedReport().ifPresent((report) -> {
			post(new Event.LoadReported(report));
			long known = this.lastCacheSequenceByServer.getOrDefault(server.instanceId(), 0L);
			engine.cacheChangesAfter(known).forEach((change) -> {
				this.lastCacheSequenceByServer.put(server.instanceId(), change.sequence());
				post(new Event.CacheChanged(server.instanceId(), change.sequence(), change.prefixHash(),
						change.cached()));
			});
		});
	}

	/**
	 * A request without a final answer.
	 */
	private final class OpenRequest {

		private final SimulatedRequest request;

		private final long arrivedMicros;

		private final MetricsRecorder.CompletionListener completionListener;

		private final TokenSequencer tokenSequence = new TokenSequencer();

		private long attemptId;

		private SimulatedEngine engine;

		private String generation;

		private long firstTokenMicros = -1;

		private long lastTokenMicros;

		private long lastProgressMicros;

		private OpenRequest(long requestId, SimulatedRequest request, long arrivedMicros,
				MetricsRecorder.CompletionListener completionListener) {
			this.request = request;
			this.arrivedMicros = arrivedMicros;
			this.completionListener = completionListener;
		}

		private void dispatch(Action.Dispatch action) {
			this.attemptId = action.attemptId();
			SimulatedPlainService plain = SimulatedEntryInstance.this.plainServices.get(action.serverId());
			if (plain != null) {
				SimulatedEntryInstance.this.clock.schedule(NETWORK_LATENCY_MICROS,
						() -> callPlainService(plain, action.attemptId()));
				return;
			}
			this.engine = SimulatedEntryInstance.this.engines.get(action.serverId());
			long current = this.attemptId;
			if (!this.tokenSequence.beginAttempt(current, action.resumeOffset()) || action.resumeOffset() > 0) {
				failAttempt(Verdict.MAY_HAVE_RUN);
				return;
			}
			SimulatedEntryInstance.this.clock.schedule(NETWORK_LATENCY_MICROS,
					() -> startGeneration(current, action.enginePriority()));
		}

		private void callPlainService(SimulatedPlainService plain, long current) {
			if (!SimulatedEntryInstance.this.alive) {
				return;
			}
			plain.call(this.request.callId(),
					(answer) -> post(new Event.AttemptEnded(current, new AttemptResult.Responded(answer))),
					(verdict) -> post(new Event.AttemptEnded(current, new AttemptResult.Failed(verdict, false))));
		}

		private void startGeneration(long current, int priority) {
			if (current != this.attemptId || this.engine == null) {
				return;
			}
			EngineJob job = new EngineJob("", this.request.spec().promptTokens(), this.request.spec().prefixHash(),
					this.request.spec().prefixTokens(), this.request.outputTokens(), priority);
			Optional<String> started = this.engine.submit(job, new AttemptTokenListener(this, current));
			if (started.isEmpty()) {
				failAttempt(Verdict.NOT_RUN);
				return;
			}
			this.generation = started.get();
		}

		private void handleToken(long fromAttempt, String from, int offset, boolean last) {
			if (!SimulatedEntryInstance.this.alive
					|| this.tokenSequence.accept(fromAttempt, from, offset) != TokenSequencer.Decision.DELIVER) {
				return;
			}
			long now = SimulatedEntryInstance.this.clock.nowMicros();
			if (offset == 0) {
				this.firstTokenMicros = now - this.arrivedMicros;
			}
			else {
				SimulatedEntryInstance.this.recorder.recordInterTokenLatency(this.request, now - this.lastTokenMicros);
			}
			this.lastTokenMicros = now;
			SimulatedEntryInstance.this.recorder.recordDeliveredToken(this.request, from, offset);
			if (offset == 0 || now - this.lastProgressMicros >= PROGRESS_INTERVAL_MICROS) {
				this.lastProgressMicros = now;
				post(new Event.TokensReceived(fromAttempt, this.tokenSequence.deliveredTokens()));
			}
			if (last) {
				this.engine = null;
				SimulatedEntryInstance.this.requestsByAttempt.remove(fromAttempt);
				post(new Event.AttemptEnded(fromAttempt,
						new AttemptResult.Generated(this.tokenSequence.deliveredTokens())));
			}
		}

		private void handleDisconnect(long fromAttempt) {
			if (fromAttempt == this.attemptId && this.engine != null) {
				failAttempt(Verdict.MAY_HAVE_RUN);
			}
		}

		private void failAttempt(Verdict verdict) {
			this.engine = null;
			SimulatedEntryInstance.this.requestsByAttempt.remove(this.attemptId);
			post(new Event.TokensReceived(this.attemptId, this.tokenSequence.deliveredTokens()));
			post(new Event.AttemptEnded(this.attemptId, new AttemptResult.Failed(verdict, false)));
		}

		private void cancelGeneration() {
			if (this.engine != null && this.generation != null) {
				this.engine.cancel(this.generation);
			}
			this.engine = null;
			this.generation = null;
		}

	}

	/**
	 * Receives the tokens of one attempt, late ones included.
	 */
	private final class AttemptTokenListener implements SimulatedEngine.TokenListener {

		private final OpenRequest request;

		private final long attemptId;

		private AttemptTokenListener(OpenRequest request, long attemptId) {
			this.request = request;
			this.attemptId = attemptId;
		}

		@Override
		public void onToken(String generation, int offset, boolean last) {
			SimulatedEntryInstance.this.clock.schedule(NETWORK_LATENCY_MICROS,
					() -> this.request.handleToken(this.attemptId, generation, offset, last));
		}

		@Override
		public void onDisconnect() {
			SimulatedEntryInstance.this.clock.schedule(NETWORK_LATENCY_MICROS,
					() -> this.request.handleDisconnect(this.attemptId));
		}

	}

}
