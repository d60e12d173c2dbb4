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
public final class EntryActor implements ActionHandler {

	private static final long TICK_MICROS = 20 * VirtualTime.MILLI;

	private static final long STEP_DELAY_MICROS = 200;

	private static final long LATENCY_MICROS = VirtualTime.MILLI / 2;

	private static final long PROGRESS_MICROS = 100 * VirtualTime.MILLI;

	private final VirtualTime time;

	private final DecisionCore core;

	private final Map<String, EngineActor> engines;

	private final Map<String, PlainActor> plains;

	private final StoreActor store;

	private final Recorder recorder;

	private final Map<Long, OpenRequest> requests = new HashMap<>();

	private final Map<Long, OpenRequest> attempts = new HashMap<>();

	private final Map<String, Long> cacheSequences = new HashMap<>();

	private List<Event> pending = new ArrayList<>();

	private boolean stepScheduled;

	private boolean alive = true;

	private long lastRequestId;

	EntryActor(VirtualTime time, DecisionCore core, Map<String, EngineActor> engines, Map<String, PlainActor> plains,
			StoreActor store, Recorder recorder, long pollMicros, long phaseMicros) {
		this.time = time;
		this.core = core;
		this.engines = engines;
		this.plains = plains;
		this.store = store;
		this.recorder = recorder;
		time.every(phaseMicros % TICK_MICROS, TICK_MICROS, this::step);
		time.every(phaseMicros % pollMicros, pollMicros, this::poll);
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
		this.pending.add(event);
		if (!this.stepScheduled) {
			this.stepScheduled = true;
			this.time.after(STEP_DELAY_MICROS, () -> {
				this.stepScheduled = false;
				step();
			});
		}
	}

	/** Ends the instance at once; its callers' connections break. */
	public void kill() {
		this.alive = false;
		this.attempts.values().forEach(OpenRequest::cancelCall);
		this.requests.values().forEach((request) -> this.recorder.cut(request.request));
		this.requests.clear();
		this.attempts.clear();
	}

	/**
	 * Returns whether the instance runs.
	 * @return {@code false} after {@link #kill()}
	 */
	public boolean alive() {
		return this.alive;
	}

	/**
	 * Takes a caller's request.
	 * @param request the request
	 * @param finished told the final answer; never called if the instance is killed first
	 */
	public void submit(SimulatedRequest request, Recorder.Finished finished) {
		this.lastRequestId++;
		OpenRequest open = new OpenRequest(this.lastRequestId, request, this.time.nowMicros(), finished);
		this.requests.put(this.lastRequestId, open);
		post(new Event.RequestArrived(this.lastRequestId, request.spec()));
	}

	@Override
	public void dispatch(Action.Dispatch action) {
		OpenRequest open = this.requests.get(action.requestId());
		if (open != null) {
			this.attempts.put(action.attemptId(), open);
			open.dispatch(action);
		}
	}

	@Override
	public void cancelAttempt(Action.CancelAttempt action) {
		Optional.ofNullable(this.attempts.remove(action.attemptId())).ifPresent(OpenRequest::cancelCall);
	}

	@Override
	public void finishRequest(Action.FinishRequest action) {
		OpenRequest open = this.requests.remove(action.requestId());
		if (open != null) {
			this.recorder.finished(open.request, action.outcome(), open.sequence.deliveredTokens(),
					this.time.nowMicros() - open.arrivedMicros, open.firstTokenMicros);
			open.finished.finished(action.outcome());
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
		EngineActor engine = this.engines.get(action.serverId());
		this.time.after(LATENCY_MICROS, () -> engine.order(action.fencingNumber(), action.modelVersion()));
	}

	@Override
	public void stateChanged(Action.StateChanged action) {
		this.recorder.stateChanged();
	}

	@Override
	public void shutdownComplete(Action.ShutdownComplete action) {
		this.alive = false;
	}

	private void step() {
		if (!this.alive) {
			return;
		}
		List<Event> events = this.pending;
		this.pending = new ArrayList<>();
		this.core.step(events, this.time.nowMillis()).forEach((action) -> action.accept(this));
	}

	private void poll() {
		if (this.alive) {
			this.core.polledServers().forEach(this::poll);
		}
	}

	private void poll(InstanceRecord server) {
		EngineActor engine = this.engines.get(server.instanceId());
		if (engine == null) {
			this.plains.get(server.instanceId()).report().ifPresent((report) -> post(new Event.LoadReported(report)));
			return;
		}
		engine.laggingReport().ifPresent((report) -> {
			post(new Event.LoadReported(report));
			long known = this.cacheSequences.getOrDefault(server.instanceId(), 0L);
			engine.cacheChangesAfter(known).forEach((change) -> {
				this.cacheSequences.put(server.instanceId(), change.sequence());
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

		private final Recorder.Finished finished;

		private final TokenSequencer sequence = new TokenSequencer();

		private long attemptId;

		private EngineActor engine;

		private String generation;

		private long firstTokenMicros = -1;

		private long lastTokenMicros;

		private long lastProgressMicros;

		private OpenRequest(long requestId, SimulatedRequest request, long arrivedMicros, Recorder.Finished finished) {
			this.request = request;
			this.arrivedMicros = arrivedMicros;
			this.finished = finished;
		}

		private void dispatch(Action.Dispatch action) {
			this.attemptId = action.attemptId();
			PlainActor plain = EntryActor.this.plains.get(action.serverId());
			if (plain != null) {
				EntryActor.this.time.after(LATENCY_MICROS, () -> call(plain, action.attemptId()));
				return;
			}
			this.engine = EntryActor.this.engines.get(action.serverId());
			long current = this.attemptId;
			if (!this.sequence.beginAttempt(current, action.resumeOffset()) || action.resumeOffset() > 0) {
				fail(Verdict.MAY_HAVE_RUN);
				return;
			}
			EntryActor.this.time.after(LATENCY_MICROS, () -> send(current, action.enginePriority()));
		}

		private void call(PlainActor plain, long current) {
			if (!EntryActor.this.alive) {
				return;
			}
			plain.call(this.request.mark(),
					(answer) -> post(new Event.AttemptEnded(current, new AttemptResult.Responded(answer))),
					(verdict) -> post(new Event.AttemptEnded(current, new AttemptResult.Failed(verdict, false))));
		}

		private void send(long current, int priority) {
			if (current != this.attemptId || this.engine == null) {
				return;
			}
			EngineJob job = new EngineJob("", this.request.spec().promptTokens(), this.request.spec().prefixHash(),
					this.request.spec().prefixTokens(), this.request.outputTokens(), priority);
			Optional<String> started = this.engine.submit(job, new AttemptReceiver(this, current));
			if (started.isEmpty()) {
				fail(Verdict.NOT_RUN);
				return;
			}
			this.generation = started.get();
		}

		private void received(long fromAttempt, String from, int offset, boolean last) {
			if (!EntryActor.this.alive
					|| this.sequence.accept(fromAttempt, from, offset) != TokenSequencer.Decision.DELIVER) {
				return;
			}
			long now = EntryActor.this.time.nowMicros();
			if (offset == 0) {
				this.firstTokenMicros = now - this.arrivedMicros;
			}
			else {
				EntryActor.this.recorder.betweenTokens(this.request, now - this.lastTokenMicros);
			}
			this.lastTokenMicros = now;
			EntryActor.this.recorder.delivered(this.request, from, offset);
			if (offset == 0 || now - this.lastProgressMicros >= PROGRESS_MICROS) {
				this.lastProgressMicros = now;
				post(new Event.TokensReceived(fromAttempt, this.sequence.deliveredTokens()));
			}
			if (last) {
				this.engine = null;
				EntryActor.this.attempts.remove(fromAttempt);
				post(new Event.AttemptEnded(fromAttempt, new AttemptResult.Generated(this.sequence.deliveredTokens())));
			}
		}

		private void cut(long fromAttempt) {
			if (fromAttempt == this.attemptId && this.engine != null) {
				fail(Verdict.MAY_HAVE_RUN);
			}
		}

		private void fail(Verdict verdict) {
			this.engine = null;
			EntryActor.this.attempts.remove(this.attemptId);
			post(new Event.TokensReceived(this.attemptId, this.sequence.deliveredTokens()));
			post(new Event.AttemptEnded(this.attemptId, new AttemptResult.Failed(verdict, false)));
		}

		private void cancelCall() {
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
	private final class AttemptReceiver implements EngineActor.TokenReceiver {

		private final OpenRequest request;

		private final long attemptId;

		private AttemptReceiver(OpenRequest request, long attemptId) {
			this.request = request;
			this.attemptId = attemptId;
		}

		@Override
		public void token(String generation, int offset, boolean last) {
			EntryActor.this.time.after(LATENCY_MICROS,
					() -> this.request.received(this.attemptId, generation, offset, last));
		}

		@Override
		public void cut() {
			EntryActor.this.time.after(LATENCY_MICROS, () -> this.request.cut(this.attemptId));
		}

	}

}
