package org.skylarkspring.gateway.internal;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

import org.skylarkspring.gateway.http.CallOutcome;
import org.skylarkspring.gateway.http.ServerCall;
import org.skylarkspring.gateway.model.Continuation;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.policy.StreamEvent;

/**
 * Takes calls from their arrival to their end: places them, judges what became of each
 * attempt, and decides whether to pass on, repeat, continue, refuse or fail.
 */
final class CallFlow {

	/** Proven not-run sends of one request after which it is refused. */
	private static final int MAXIMUM_SENDS = 4;

	/** When a caller may come back if no server is known to be free sooner. */
	private static final long RETRY_AFTER_MILLIS = 300;

	/** Rank of the most urgent route inside an engine, below what is kept free. */
	private static final int FIRST_ENGINE_PRIORITY = 4;

	private static final int LAST_ENGINE_PRIORITY = 9;

	/**
	 * Silence of a server, in aims of the route, after which a repeatable call is
	 * repeated.
	 */
	private static final int SILENT_AIMS = 2;

	/** Pause of a stream, in aims of the route, that is worth a line. */
	private static final int STALL_AIMS = 2;

	private static final int UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final int SERVER_ERROR = 500;

	private final Set<Call> calls = new LinkedHashSet<>();

	private final GatewayContext context;

	private final ConfigurationFeed configuration;

	private final Placer placer;

	private final RetryBudgets retries;

	private final DataCentreReach reach;

	private long bodyBytesHeld;

	private CarryOverSystem carryOvers;

	private Runnable onGenerationPlaced = () -> {
	};

	CallFlow(GatewayContext context, ConfigurationFeed configuration, Placer placer, RetryBudgets retries,
			DataCentreReach reach) {
		this.context = context;
		this.configuration = configuration;
		this.placer = placer;
		this.retries = retries;
		this.reach = reach;
	}

	void carryOvers(CarryOverSystem system) {
		this.carryOvers = system;
	}

	void onGenerationPlaced(Runnable listener) {
		this.onGenerationPlaced = listener;
	}

	int active() {
		return this.calls.size();
	}

	long bodyBytesHeld() {
		return this.bodyBytesHeld;
	}

	void begin(Call call) {
		this.calls.add(call);
		this.bodyBytesHeld += call.body.length;
		this.context.metrics.active(this.calls.size());
		this.retries.requested(call.service.name());
		call.answer = new CallerAnswer(call.exchange, () -> {
			if (call.attempt != null) {
				call.attempt.resumeReads();
			}
		});
		call.watch = CallerWatch.start(call.exchange, () -> callerLeft(call));
		call.exchange.getConnection().addCloseListener((closed) -> callerLeft(call));
		call.deadlineTimer = this.context.time.after(call.deadlineMillis - this.context.time.nowMillis(),
				() -> deadlinePassed(call));
		place(call);
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
			noServer(call);
			return;
		}
		send(call, chosen.get(), Optional.empty());
	}

	private void noServer(Call call) {
		if (call.runs > 0) {
			fail(call, BAD_GATEWAY, "no other server to repeat at");
		}
		else {
			refuse(call, "no server may take it", RETRY_AFTER_MILLIS);
		}
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
		if (first && call.keyed() && !(this.configuration.fresh() && keyHeld(call))) {
			return false;
		}
		if (attempt.head.continuation().isEmpty()
				&& (!attempt.entry.mayReceive() || this.placer.closed(attempt.entry.listing.dataCentre()))) {
			return false;
		}
		call.runs++;
		return true;
	}

	private boolean keyHeld(Call call) {
		return this.configuration.table().flatMap((table) -> call.head.key().flatMap(table::workspace)).isPresent();
	}

	private void silent(ServerAttempt attempt) {
		Call call = attempt.call;
		boolean quiet = attempt.call.attempt == attempt && !attempt.answered();
		if (quiet && this.retries.tryRepeat(call.service.name())) {
			attempt.cancel();
			detach(attempt);
			attempt.entry.failed(this.context.time.nowMillis());
			note(call, "server silent, repeated elsewhere", attempt, "");
			place(call);
		}
	}

	/**
	 * An event of a stream has arrived.
	 * @param attempt the attempt it came from
	 * @param event the event
	 * @return whether the caller keeps up
	 */
	boolean passOn(ServerAttempt attempt, StreamEvent event) {
		Call call = attempt.call;
		long now = this.context.time.nowMillis();
		if (!call.committed()) {
			call.answer.start(attempt.response().getResponseCode(), attempt.answerHeaders());
			call.firstEventMillis = now;
			this.context.log.routine(now, call.id(), "stream started", Map.of("server", attempt.entry.listing.id(),
					"route", call.route.name(), "millis", now - call.arrivedMillis));
			this.context.metrics.latency(call.route.name(), now - call.arrivedMillis);
		}
		else if (call.lastEventMillis >= 0) {
			call.longestPauseMillis = Math.max(call.longestPauseMillis, now - call.lastEventMillis);
		}
		call.lastEventMillis = now;
		attempt.events++;
		promptRead(attempt);
		call.order.delivered(event);
		return call.answer.write(event.bytes());
	}

	void streamEnded(ServerAttempt attempt, byte[] rest) {
		Call call = attempt.call;
		detach(attempt);
		attempt.entry.succeeded();
		if (!call.committed()) {
			call.answer.start(attempt.response().getResponseCode(), attempt.answerHeaders());
		}
		if (rest.length > 0) {
			call.answer.write(rest);
		}
		this.context.metrics.longestPause(call.route.name(), call.carryOver != null, call.longestPauseMillis);
		this.context.log.routine(this.context.time.nowMillis(), call.id(), "stream complete",
				Map.of("server", attempt.entry.listing.id(), "route", call.route.name(), "first-event-millis",
						call.firstEventMillis - call.arrivedMillis, "longest-pause-millis", call.longestPauseMillis,
						"events", call.order.lastId().orElse(""), "carried", call.carryOver != null));
		finish(call, "completed");
		call.answer.end();
	}

	/**
	 * A whole answer that is not a stream has arrived.
	 * @param attempt the attempt it came from
	 */
	void answered(ServerAttempt attempt) {
		Call call = attempt.call;
		detach(attempt);
		int status = attempt.response().getResponseCode();
		if (status >= SERVER_ERROR) {
			attempt.entry.erred();
			if (!call.committed() && mayRepeat(call)) {
				note(call, "server error, repeated elsewhere", attempt, String.valueOf(status));
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
		finish(call, (status >= SERVER_ERROR) ? "server-error" : "completed");
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
		detach(attempt);
		call.runs--;
		if (attempt.head.continuation().isPresent()) {
			this.carryOvers.continuationRefused(call, "status " + status);
			return;
		}
		if (call.committed()) {
			cut(call, "continuation refused with " + status);
			return;
		}
		if (call.sends < MAXIMUM_SENDS && this.retries.tryRepeat(call.service.name())) {
			note(call, "server refused, sent elsewhere", attempt, String.valueOf(status));
			place(call);
			return;
		}
		noServer(call);
	}

	/**
	 * An attempt has failed or broken off.
	 * @param attempt the attempt
	 * @param outcome what is known of it
	 * @param reason what went wrong, for logs
	 */
	void broke(ServerAttempt attempt, CallOutcome outcome, String reason) {
		Call call = attempt.call;
		detach(attempt);
		attempt.entry.failed(this.context.time.nowMillis());
		if (call.finished) {
			return;
		}
		note(call, "attempt broke", attempt, outcome + ": " + reason);
		if (outcome == CallOutcome.NOT_SENT && reason.equals(ServerCall.CONNECT_TIMEOUT)) {
			this.reach.timedOut(attempt.entry.listing.dataCentre(), this.context.time.nowMillis());
		}
		if (this.carryOvers.takesOver(attempt)) {
			return;
		}
		if (outcome == CallOutcome.NOT_SENT) {
			notSent(call, attempt);
			return;
		}
		if (mayRepeat(call)) {
			place(call);
		}
		else if (call.committed()) {
			cut(call, reason);
		}
		else {
			fail(call, BAD_GATEWAY, reason);
		}
	}

	private void notSent(Call call, ServerAttempt attempt) {
		if (call.committed() && !call.route.kind().repeatable()) {
			cut(call, "continuation could not be sent");
		}
		else if (call.keyed() && !this.configuration.fresh()) {
			refuse(call, "key not confirmed lately", RETRY_AFTER_MILLIS);
		}
		else if (call.keyed() && !keyHeld(call)) {
			refuse(call, "key taken away", RETRY_AFTER_MILLIS);
		}
		else if (call.sends < MAXIMUM_SENDS) {
			place(call);
		}
		else {
			noServer(call);
		}
	}

	private boolean mayRepeat(Call call) {
		return call.route.kind().repeatable() && call.runs < call.route.maximumAttempts()
				&& this.retries.tryRepeat(call.service.name());
	}

	private void deadlinePassed(Call call) {
		if (call.finished) {
			return;
		}
		if (call.committed()) {
			cut(call, "deadline passed");
		}
		else {
			fail(call, GATEWAY_TIMEOUT, "deadline passed");
		}
	}

	private void callerLeft(Call call) {
		if (!call.finished) {
			this.context.log.routine(this.context.time.nowMillis(), call.id(), "caller left",
					Map.of("route", call.route.name(), "millis", this.context.time.nowMillis() - call.arrivedMillis));
			finish(call, "caller-left");
		}
	}

	/** Writes a line for each stream that stands still, once for each pause. */
	void reportStalls() {
		long now = this.context.time.nowMillis();
		this.calls.stream()
			.filter((call) -> call.route.kind().streamed() && call.attempt != null)
			.filter((call) -> stalledMillis(call, now) > STALL_AIMS * call.route.targetLatencyMillis())
			.filter((call) -> call.reportedStallMillis != call.lastEventMillis)
			.forEach((call) -> {
				call.reportedStallMillis = call.lastEventMillis;
				this.context.log.request(call.id(), "stream stands still",
						Map.of("server", call.attempt.entry.listing.id(), "millis", stalledMillis(call, now),
								"head-received", call.attempt.answered(), "last-event", call.order.lastId().orElse(""),
								"bytes-pending", call.answer.pendingBytes()));
			});
	}

	private static long stalledMillis(Call call, long now) {
		return now - Math.max(call.lastEventMillis, call.arrivedMillis);
	}

	void refuse(Call call, String reason, long retryAfterMillis) {
		if (call.committed()) {
			cut(call, reason);
			return;
		}
		this.context.log.request(call.id(), "refused",
				Map.of("route", call.route.name(), "reason", reason, "retry-after-millis", retryAfterMillis, "sends",
						call.sends, "configuration-age-millis", this.configuration.ageMillis()));
		finish(call, "refused");
		HeaderMap headers = new HeaderMap();
		this.context.callers.encodeRetryAfter(headers, retryAfterMillis);
		call.answer.whole(UNAVAILABLE, headers, new byte[0]);
	}

	void fail(Call call, int status, String reason) {
		this.context.log.request(call.id(), "failed", Map.of("route", call.route.name(), "status", status, "reason",
				reason, "sends", call.sends, "millis", this.context.time.nowMillis() - call.arrivedMillis));
		finish(call, "failed");
		HeaderMap headers = new HeaderMap();
		headers.put(Headers.CONTENT_LENGTH, 0);
		call.answer.whole(status, headers, new byte[0]);
	}

	void cut(Call call, String reason) {
		this.context.log.request(call.id(), "cut off",
				Map.of("route", call.route.name(), "reason", reason, "last-event", call.order.lastId().orElse(""),
						"millis", this.context.time.nowMillis() - call.arrivedMillis));
		finish(call, "cut");
		call.answer.abort();
	}

	private void finish(Call call, String outcome) {
		call.finished = true;
		this.calls.remove(call);
		this.bodyBytesHeld -= call.body.length;
		this.context.metrics.active(this.calls.size());
		this.context.metrics.outcome(call.route.name(), outcome);
		call.deadlineTimer.remove();
		call.watch.stop();
		if (call.attempt != null) {
			ServerAttempt attempt = call.attempt;
			attempt.cancel();
			detach(attempt);
		}
		this.carryOvers.ended(call);
	}

	/**
	 * Separates an attempt from its call and its server.
	 * @param attempt the attempt
	 */
	void detach(ServerAttempt attempt) {
		if (attempt.entry.attempts.remove(attempt)) {
			attempt.entry.promisedTokens -= attempt.call.promisedTokens;
			promptRead(attempt);
		}
		if (attempt.call.attempt == attempt) {
			attempt.call.attempt = null;
		}
	}

	private static void promptRead(ServerAttempt attempt) {
		attempt.entry.unreadTokens -= attempt.unreadTokens;
		attempt.unreadTokens = 0;
	}

	private void note(Call call, String decision, ServerAttempt attempt, String reason) {
		this.context.metrics.decision(decision);
		this.context.log.request(call.id(), decision,
				Map.of("route", call.route.name(), "server", attempt.entry.listing.id(), "reason", reason, "runs",
						call.runs, "last-event", call.order.lastId().orElse(""), "millis",
						this.context.time.nowMillis() - call.arrivedMillis));
	}

}
