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
 * Simulates an entry instance on the virtual clock. Executes the actions of its decision
 * core against the simulated engines, plain services and store.
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
	 * Returns the decision core, for inspection only.
	 * @return the decision core
	 */
	public DecisionCore core() {
		return this.core;
	}

	/**
	 * Queues an event for the next step of the decision core.
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

	/** Terminates the instance abruptly; the connections of its callers break. */
	public void kill() {
		this.alive = false;
		this.requestsByAttempt.values().forEach(OpenRequest::cancelGeneration);
		this.openRequests.values().forEach((request) -> this.recorder.recordDisconnect(request.request));
		this.openRequests.clear();
		this.requestsByAttempt.clear();
	}

	/**
	 * Returns whether the instance is running.
	 * @return {@code false} after {@link #kill()} or a completed shutdown
	 */
	public boolean isAlive() {
		return this.alive;
	}

	/**
	 * Submits a caller's request.
	 * @param request the request
	 * @param completionListener receives the final outcome; never called if the instance
	 * is killed first
	 */
	public void submit(SimulatedRequest request, MetricsRecorder.CompletionListener completionListener) {
		this.lastRequestId++;
		OpenRequest openRequest = new OpenRequest(this.lastRequestId, request, this.clock.nowMicros(),
				completionListener);
		this.openRequests.put(this.lastRequestId, openRequest);
		post(new Event.RequestArrived(this.lastRequestId, request.spec()));
	}

	@Override
	public void dispatch(Action.Dispatch action) {
		OpenRequest openRequest = this.openRequests.get(action.requestId());
		if (openRequest != null) {
			this.requestsByAttempt.put(action.attemptId(), openRequest);
			openRequest.dispatch(action);
		}
	}

	@Override
	public void cancelAttempt(Action.CancelAttempt action) {
		Optional.ofNullable(this.requestsByAttempt.remove(action.attemptId())).ifPresent(OpenRequest::cancelGeneration);
	}

	@Override
	public void finishRequest(Action.FinishRequest action) {
		OpenRequest openRequest = this.openRequests.remove(action.requestId());
		if (openRequest != null) {
			this.recorder.recordFinished(openRequest.request, action.outcome(),
					openRequest.tokenSequencer.deliveredTokens(), this.clock.nowMicros() - openRequest.arrivedMicros,
					openRequest.firstTokenMicros);
			openRequest.completionListener.onFinished(action.outcome());
		}
	}

	@Override
	public void storeWrite(Action.StoreWrite action) {
		this.store.write(action.key(), action.expectedVersion(), action.value(),
				(response) -> post(new Event.StoreResponseReceived(action.operationId(), response)));
	}

	@Override
	public void storeRead(Action.StoreRead action) {
		this.store.read(action.key(),
				(response) -> post(new Event.StoreResponseReceived(action.operationId(), response)));
	}

	@Override
	public void loadModel(Action.LoadModel action) {
		SimulatedEngine engine = this.engines.get(action.serverId());
		this.clock.schedule(NETWORK_LATENCY_MICROS,
				() -> engine.handleLoadCommand(action.fencingNumber(), action.modelVersion()));
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
			long lastSequence = this.lastCacheSequenceByServer.getOrDefault(server.instanceId(), 0L);
			engine.cacheChangesAfter(lastSequence).forEach((change) -> {
				this.lastCacheSequenceByServer.put(server.instanceId(), change.sequence());
				post(new Event.CacheChanged(server.instanceId(), change.sequence(), change.prefixHash(),
						change.cached()));
			});
		});
	}

	/**
	 * A request without a final outcome.
	 */
	private final class OpenRequest {

		private final SimulatedRequest request;

		private final long arrivedMicros;

		private final MetricsRecorder.CompletionListener completionListener;

		private final TokenSequencer tokenSequencer = new TokenSequencer();

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
			SimulatedPlainService plainService = SimulatedEntryInstance.this.plainServices.get(action.serverId());
			if (plainService != null) {
				SimulatedEntryInstance.this.clock.schedule(NETWORK_LATENCY_MICROS,
						() -> callPlainService(plainService, action.attemptId()));
				return;
			}
			this.engine = SimulatedEntryInstance.this.engines.get(action.serverId());
			long currentAttemptId = this.attemptId;
			// Simulated engines cannot resume a generation at an offset.
			if (!this.tokenSequencer.beginAttempt(currentAttemptId, action.resumeOffset())
					|| action.resumeOffset() > 0) {
				failAttempt(Verdict.MAY_HAVE_RUN);
				return;
			}
			SimulatedEntryInstance.this.clock.schedule(NETWORK_LATENCY_MICROS,
					() -> startGeneration(currentAttemptId, action.enginePriority()));
		}

		private void callPlainService(SimulatedPlainService plainService, long currentAttemptId) {
			if (!SimulatedEntryInstance.this.alive) {
				return;
			}
			plainService.call(this.request.callId(),
					(response) -> post(new Event.AttemptEnded(currentAttemptId, new AttemptResult.Responded(response))),
					(verdict) -> post(
							new Event.AttemptEnded(currentAttemptId, new AttemptResult.Failed(verdict, false))));
		}

		private void startGeneration(long currentAttemptId, int priority) {
			if (currentAttemptId != this.attemptId || this.engine == null) {
				return;
			}
			EngineJob job = new EngineJob("", this.request.spec().promptTokens(), this.request.spec().prefixHash(),
					this.request.spec().prefixTokens(), this.request.outputTokens(), priority);
			Optional<String> started = this.engine.submit(job, new AttemptTokenListener(this, currentAttemptId));
			if (started.isEmpty()) {
				failAttempt(Verdict.NOT_RUN);
				return;
			}
			this.generation = started.get();
		}

		private void handleToken(long sourceAttemptId, String sourceGeneration, int offset, boolean last) {
			if (!SimulatedEntryInstance.this.alive || this.tokenSequencer.accept(sourceAttemptId, sourceGeneration,
					offset) != TokenSequencer.Decision.DELIVER) {
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
			SimulatedEntryInstance.this.recorder.recordDeliveredToken(this.request, sourceGeneration, offset);
			if (offset == 0 || now - this.lastProgressMicros >= PROGRESS_INTERVAL_MICROS) {
				this.lastProgressMicros = now;
				post(new Event.TokensReceived(sourceAttemptId, this.tokenSequencer.deliveredTokens()));
			}
			if (last) {
				this.engine = null;
				SimulatedEntryInstance.this.requestsByAttempt.remove(sourceAttemptId);
				post(new Event.AttemptEnded(sourceAttemptId,
						new AttemptResult.Generated(this.tokenSequencer.deliveredTokens())));
			}
		}

		private void handleDisconnect(long sourceAttemptId) {
			if (sourceAttemptId == this.attemptId && this.engine != null) {
				failAttempt(Verdict.MAY_HAVE_RUN);
			}
		}

		private void failAttempt(Verdict verdict) {
			this.engine = null;
			SimulatedEntryInstance.this.requestsByAttempt.remove(this.attemptId);
			post(new Event.TokensReceived(this.attemptId, this.tokenSequencer.deliveredTokens()));
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
	 * Receives the tokens of one attempt, including tokens that arrive after its end.
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
