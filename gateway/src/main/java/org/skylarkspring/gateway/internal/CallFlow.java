package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.skylarkspring.gateway.http.CallOutcome;
import org.skylarkspring.gateway.http.ServerCall;
import org.skylarkspring.gateway.model.Continuation;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.policy.NextStep;

/**
 * Places calls and judges what became of each attempt: passed on, repeated, continued
 * elsewhere or ended.
 */
final class CallFlow {

	/** Rank of the most urgent route inside an engine, below what is kept free. */
	private static final int FIRST_ENGINE_PRIORITY = 4;

	private static final int LAST_ENGINE_PRIORITY = 9;

	/**
	 * Silence of a server, in aims of the route, after which a repeatable call is
	 * repeated.
	 */
	private static final int SILENT_AIMS = 2;

	private static final int SERVER_ERROR = 500;

	private final GatewayContext context;

	private final ConfigurationFeed configuration;

	private final Placer placer;

	private final RetryBudgets retries;

	private final DataCentreReach reach;

	private final CallEndings endings;

	private final StreamRelay streams;

	private CarryOverSystem carryOvers;

	private Consumer<Runnable> loadRefresh = Runnable::run;

	private Runnable onGenerationPlaced = () -> {
	};

	CallFlow(GatewayContext context, ConfigurationFeed configuration, Placer placer, RetryBudgets retries,
			DataCentreReach reach, CallEndings endings) {
		this.context = context;
		this.configuration = configuration;
		this.placer = placer;
		this.retries = retries;
		this.reach = reach;
		this.endings = endings;
		this.streams = new StreamRelay(context, endings);
	}

	void carryOvers(CarryOverSystem system) {
		this.carryOvers = system;
	}

	StreamRelay streams() {
		return this.streams;
	}

	/**
	 * Sets the exchange of load with other instances.
	 * @param refresh runs a decision once the load of others is known
	 * @param placed called when a generation was placed
	 */
	void loadExchange(Consumer<Runnable> refresh, Runnable placed) {
		this.loadRefresh = refresh;
		this.onGenerationPlaced = placed;
	}

	/**
	 * Takes a request that has been read whole.
	 * @param call the request
	 */
	void begin(Call call) {
		this.endings.begun(call);
		this.retries.requested(call.service.name());
		call.answer = new CallerAnswer(call.exchange, () -> {
			if (call.attempt != null) {
				call.attempt.resumeReads();
			}
		});
		call.watch = CallerWatch.start(call.exchange, () -> this.endings.callerLeft(call));
		call.deadlineTimer = this.context.time.after(call.deadlineMillis - this.context.time.nowMillis(),
				() -> this.endings.deadlinePassed(call));
		if (call.promisedTokens > 0) {
			this.loadRefresh.accept(() -> placeUnlessEnded(call));
		}
		else {
			place(call);
		}
	}

	private void placeUnlessEnded(Call call) {
		if (!call.finished) {
			place(call);
		}
	}

	/**
	 * Places a call that has no attempt.
	 * @param call the call
	 */
	void place(Call call) {
		Optional<ServerEntry> chosen = this.placer.choose(call.service, call.promisedTokens, call.triedServers);
		if (chosen.isEmpty() && call.route.kind().repeatable()) {
			chosen = this.placer.choose(call.service, call.promisedTokens, Set.of());
		}
		if (chosen.isEmpty()) {
			this.endings.end(call, call.unanswered().without(), "no server may take it");
			return;
		}
		send(call, chosen.get(), Optional.empty());
	}

	/**
	 * Sends a call to a server.
	 * @param call the call
	 * @param entry the server
	 * @param continuation where its generation goes on from, empty for a new one
	 */
	void send(Call call, ServerEntry entry, Optional<Continuation> continuation) {
		Optional<String> resumeAfter = (continuation.isEmpty() && call.order.lastId().isPresent()) ? call.order.lastId()
				: Optional.empty();
		long remaining = Math.max(1, call.deadlineMillis - this.context.time.nowMillis());
		DispatchHead head = new DispatchHead(entry.listing.id(), remaining, call.workspace, enginePriority(call),
				continuation, resumeAfter);
		ServerAttempt attempt = new ServerAttempt(this.context, this, call, entry, head);
		call.attempt = attempt;
		call.sends++;
		call.triedServers.add(entry.listing.id());
		entry.attempts.add(attempt);
		entry.promisedTokens += call.promisedTokens;
		attempt.unreadTokens = continuation.isPresent() ? 0 : call.promptTokens();
		entry.unreadTokens += attempt.unreadTokens;
		if (call.promisedTokens > 0) {
			this.onGenerationPlaced.run();
		}
		this.context.log.routine(this.context.time.nowMillis(), call.id(), "sent",
				Map.of("server", entry.listing.id(), "route", call.route.name(), "send", call.sends, "continued",
						continuation.isPresent(), "promised-tokens", entry.promisedTokens, "running",
						entry.attempts.size() + entry.peerRunning));
		if (call.route.kind().repeatable() && call.runs + 1 < call.route.maximumAttempts()) {
			attempt.silenceTimer = this.context.time.after(SILENT_AIMS * call.route.targetLatencyMillis(),
					() -> silent(attempt));
		}
		attempt.start();
	}

	private OptionalInt enginePriority(Call call) {
		if (call.service.engine().isEmpty()) {
			return OptionalInt.empty();
		}
		return OptionalInt.of(Math.min(LAST_ENGINE_PRIORITY, FIRST_ENGINE_PRIORITY + call.priority));
	}

	/**
	 * Returns whether an attempt may be sent now that its connection is made.
	 * @param attempt the attempt
	 * @return {@code false} if its key can no longer be relied on, or its server left
	 */
	boolean maySend(ServerAttempt attempt) {
		Call call = attempt.call;
		this.reach.connected(attempt.entry.listing.dataCentre());
		boolean first = call.runs == 0;
		if (first && call.keyed() && !keyUsable(call)) {
			return false;
		}
		if (attempt.head.continuation().isEmpty()
				&& (!attempt.entry.mayReceive() || this.placer.closed(attempt.entry.listing.dataCentre()))) {
			return false;
		}
		call.runs++;
		return true;
	}

	private boolean keyUsable(Call call) {
		return this.configuration.fresh()
				&& this.configuration.table().flatMap((table) -> call.head.key().flatMap(table::workspace)).isPresent();
	}

	private void silent(ServerAttempt attempt) {
		Call call = attempt.call;
		boolean quiet = attempt.call.attempt == attempt && !attempt.answered();
		if (quiet && this.retries.tryRepeat(call.service.name())) {
			attempt.cancel();
			this.endings.detach(attempt);
			attempt.entry.failed(this.context.time.nowMillis());
			this.endings.note(call, "server silent, repeated elsewhere", attempt, "");
			place(call);
		}
	}

	/**
	 * A whole answer that is not a stream has arrived.
	 * @param attempt the attempt it came from
	 */
	void answered(ServerAttempt attempt) {
		Call call = attempt.call;
		this.endings.detach(attempt);
		int status = attempt.response().getResponseCode();
		if (status >= SERVER_ERROR) {
			attempt.entry.erred();
			if (!call.committed() && mayRepeat(call)) {
				this.endings.note(call, "server error, repeated elsewhere", attempt, String.valueOf(status));
				place(call);
				return;
			}
		}
		else {
			attempt.entry.succeeded();
		}
		long millis = this.context.time.nowMillis() - call.arrivedMillis;
		this.context.metrics.latency(call.route.name(), millis);
		this.context.log.routine(this.context.time.nowMillis(), call.id(), "answered", Map.of("server",
				attempt.entry.listing.id(), "route", call.route.name(), "status", status, "millis", millis));
		this.endings.finish(call, (status >= SERVER_ERROR) ? "server-error" : "completed");
		if (call.committed()) {
			call.answer.end();
		}
		else {
			call.answer.whole(status, attempt.answerHeaders(), attempt.heldBody());
		}
	}

	/**
	 * The server has said that it did not run the request.
	 * @param attempt the attempt
	 * @param status status of the answer
	 */
	void notRun(ServerAttempt attempt, int status) {
		Call call = attempt.call;
		this.endings.detach(attempt);
		call.runs--;
		this.endings.note(call, "server refused", attempt, String.valueOf(status));
		if (!this.carryOvers.continuationRefused(attempt)) {
			goOn(call, "server refused", () -> this.retries.tryRepeat(call.service.name()));
		}
	}

	/**
	 * An attempt has failed or broken off.
	 * @param attempt the attempt
	 * @param outcome what is known of it
	 * @param reason what went wrong, for logs
	 */
	void broke(ServerAttempt attempt, CallOutcome outcome, String reason) {
		Call call = attempt.call;
		this.endings.detach(attempt);
		attempt.entry.failed(this.context.time.nowMillis());
		if (call.finished) {
			return;
		}
		this.endings.note(call, "attempt broke", attempt, outcome + ": " + reason);
		boolean notSent = outcome == CallOutcome.NOT_SENT;
		if (notSent && reason.equals(ServerCall.CONNECT_TIMEOUT)) {
			this.reach.timedOut(attempt.entry.listing.dataCentre(), this.context.time.nowMillis());
		}
		if (this.carryOvers.takesOver(attempt)) {
			return;
		}
		if (call.runs == 0 && call.keyed() && !keyUsable(call)) {
			this.endings.end(call, call.unanswered().without(), "key not confirmed lately");
		}
		else {
			goOn(call, reason, () -> notSent || this.retries.tryRepeat(call.service.name()));
		}
	}

	private void goOn(Call call, String reason, BooleanSupplier budget) {
		NextStep step = call.unanswered().next(budget);
		if (step == NextStep.PLACE_AGAIN) {
			place(call);
		}
		else {
			this.endings.end(call, step, reason);
		}
	}

	private boolean mayRepeat(Call call) {
		return call.unanswered().next(() -> this.retries.tryRepeat(call.service.name())) == NextStep.PLACE_AGAIN;
	}

}
