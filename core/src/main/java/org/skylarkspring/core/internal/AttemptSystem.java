package org.skylarkspring.core.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.ServiceKind;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RefusalCode;
import org.skylarkspring.core.model.Verdict;

/**
 * Follows attempts from dispatch to end: counts tokens, finds stalls, moves attempts
 * before their first token, resumes a generation on its own server, retries within the
 * budget, and never lets two generations make up one answer.
 */
final class AttemptSystem {

	private static final long SUSPENSION_MILLIS = 250;

	private static final int MAXIMUM_SUSPENSION_DOUBLINGS = 5;

	private static final long INTERRUPTED_RETRY_MILLIS = 1_000;

	private final CoreContext context;

	private final QueueSystem queue;

	private final PlacementSystem placement;

	private final ClaimSystem claims;

	private final FinishSystem finish;

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private final Period period = new Period(100);

	AttemptSystem(CoreContext context, QueueSystem queue, PlacementSystem placement, ClaimSystem claims,
			FinishSystem finish) {
		this.context = context;
		this.queue = queue;
		this.placement = placement;
		this.claims = claims;
		this.finish = finish;
	}

	void tokensReceived(Event.TokensReceived event) {
		this.context.requests.findAttempt(event.attemptId()).ifPresent((attempt) -> {
			RequestEntry request = attempt.request;
			if (event.outputTokens() > attempt.outputTokens) {
				this.context.lengths.grown(request, attempt.outputTokens, event.outputTokens());
				attempt.outputTokens = event.outputTokens();
			}
			attempt.lastProgressMillis = this.context.nowMillis;
			attempt.server.consecutiveFailures = 0;
			if (request.spec.streamed()) {
				request.deliveredTokens = attempt.outputTokens;
			}
		});
	}

	void ended(Event.AttemptEnded event) {
		Optional<AttemptEntry> found = this.context.requests.findAttempt(event.attemptId());
		if (found.isEmpty()) {
			this.context.count("late_attempt_ends");
			return;
		}
		AttemptEntry attempt = found.get();
		remove(attempt);
		if (event.result() instanceof AttemptResult.Generated generated) {
			generated(attempt, generated.outputTokens());
		}
		else if (event.result() instanceof AttemptResult.Answered answered) {
			answered(attempt, answered);
		}
		else if (event.result() instanceof AttemptResult.Failed failed) {
			attempt.server.consecutiveFailures++;
			suspend(attempt.server);
			failed(attempt, failed, RefusalCode.BACKEND_FAILED);
		}
	}

	void callerDisconnected(long requestId) {
		Optional<RequestEntry> found = this.context.requests.find(requestId);
		if (found.isEmpty()) {
			return;
		}
		RequestEntry request = found.get();
		this.context.count("callers_disconnected");
		if (request.attempt().isEmpty()) {
			this.context.queue(request.service.name()).removeIf((waiting) -> waiting == request);
			this.context.requests.remove(request);
			request.claim().filter((claim) -> claim.version > 0).ifPresent(this.claims::release);
		}
		else if (request.spec.repeatable()) {
			cancel(request.attempt);
			this.context.requests.remove(request);
		}
	}

	void tick() {
		if (this.period.due(this.context.nowMillis)) {
			List.copyOf(this.context.requests.attempts()).forEach(this::watch);
		}
	}

	private void watch(AttemptEntry attempt) {
		long silentMillis = this.context.nowMillis - attempt.lastProgressMillis;
		if (silentMillis >= attempt.request.service.stallTimeoutMillis()) {
			this.context.count("stalled_attempts");
			cancel(attempt);
			failed(attempt, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, true), RefusalCode.TIMED_OUT);
			return;
		}
		if (shouldMove(attempt)) {
			this.context.count("moved_attempts");
			cancel(attempt);
			attempt.request.triedServers.add(attempt.server.serverId);
			attempt.request.mayHaveRun = true;
			this.queue.enqueueAgain(attempt.request);
		}
	}

	// A generation without a token on a server that is going away runs elsewhere.
	private boolean shouldMove(AttemptEntry attempt) {
		RequestEntry request = attempt.request;
		boolean going = !attempt.server.inService();
		boolean untouched = attempt.outputTokens == 0 && request.spec.repeatable();
		return going && untouched && request.attempts < CoreLimits.MAXIMUM_ATTEMPTS
				&& request.service.kind() == ServiceKind.GENERATION && this.placement.choose(request).isPresent();
	}

	private void generated(AttemptEntry attempt, int outputTokens) {
		RequestEntry request = attempt.request;
		attempt.server.consecutiveFailures = 0;
		if (outputTokens > attempt.outputTokens) {
			this.context.lengths.grown(request, attempt.outputTokens, outputTokens);
		}
		this.context.lengths.ended(request, outputTokens);
		budget(request).requestSent();
		this.context.count("completed");
		this.finish.finish(request, new Outcome.Completed(outputTokens));
	}

	private void answered(AttemptEntry attempt, AttemptResult.Answered answered) {
		RequestEntry request = attempt.request;
		attempt.server.consecutiveFailures = 0;
		budget(request).requestSent();
		request.claim().ifPresent((claim) -> this.claims.record(claim, answered.answer()));
		this.context.count("completed");
		this.finish.finish(request, new Outcome.Completed(0));
	}

	private void failed(AttemptEntry attempt, AttemptResult.Failed failed, RefusalCode code) {
		RequestEntry request = attempt.request;
		boolean notRun = failed.verdict() == Verdict.NOT_RUN;
		this.context.count(notRun ? "attempts_not_run" : "attempts_failed");
		if (!notRun) {
			request.mayHaveRun = true;
		}
		if (request.deliveredTokens > 0) {
			resumeOrInterrupt(attempt, failed.resumable(), code);
			return;
		}
		request.triedServers.add(attempt.server.serverId);
		boolean allowed = notRun || request.spec.repeatable();
		if (allowed && request.attempts < CoreLimits.MAXIMUM_ATTEMPTS && budget(request).takeRetry()) {
			this.context.count("retries");
			this.queue.enqueueAgain(request);
			return;
		}
		this.queue.refuse(request, code);
	}

	private void resumeOrInterrupt(AttemptEntry attempt, boolean resumable, RefusalCode code) {
		RequestEntry request = attempt.request;
		if (resumable && !attempt.resumed) {
			this.context.count("resumed_attempts");
			this.placement.place(request, attempt.server, request.deliveredTokens);
			return;
		}
		this.context.count("interrupted");
		long spreadMillis = (long) (INTERRUPTED_RETRY_MILLIS * (1 + this.context.random.nextDouble()));
		this.finish.refuse(request, code, Verdict.MAY_HAVE_RUN, spreadMillis);
	}

	private void cancel(AttemptEntry attempt) {
		this.context.emit(new Action.CancelAttempt(attempt.attemptId));
		remove(attempt);
	}

	private void remove(AttemptEntry attempt) {
		this.context.requests.removeAttempt(attempt);
		ServerEntry server = attempt.server;
		server.attempts.remove(attempt);
		attempt.request.attempt = null;
		if (!attempt.reported) {
			server.unreportedPlacements = Math.max(0, server.unreportedPlacements - 1);
			server.unreportedBlocks = Math.max(0, server.unreportedBlocks - attempt.promisedBlocks);
		}
	}

	// A failing server gets a pause that doubles, and none before a younger report.
	private void suspend(ServerEntry server) {
		int doublings = Math.min(MAXIMUM_SUSPENSION_DOUBLINGS, server.consecutiveFailures - 1);
		double jitter = 0.5 + this.context.random.nextDouble();
		long pauseMillis = (long) (SUSPENSION_MILLIS * (1L << doublings) * jitter);
		server.suspendedUntilMillis = this.context.nowMillis + pauseMillis;
		server.suspectSinceMillis = this.context.nowMillis;
	}

	private RetryBudget budget(RequestEntry request) {
		return this.budgets.computeIfAbsent(request.service.name(), (name) -> new RetryBudget());
	}

}
