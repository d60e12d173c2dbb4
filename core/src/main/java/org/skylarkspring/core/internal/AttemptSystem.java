package org.skylarkspring.core.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.ServiceKind;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.Verdict;

/**
 * Tracks attempts from dispatch to end: records token progress, detects stalls, migrates
 * attempts that have not produced a token, resumes interrupted generations on the same
 * server and retries within the retry budget. A response never combines the output of two
 * generations.
 */
final class AttemptSystem {

	private static final long BASE_BACKOFF_MILLIS = 250;

	private static final int MAXIMUM_BACKOFF_DOUBLINGS = 5;

	private static final long INTERRUPTED_RETRY_AFTER_MILLIS = 1_000;

	private final CoreContext context;

	private final QueueSystem queueSystem;

	private final PlacementSystem placementSystem;

	private final IdempotencyClaimSystem claimSystem;

	private final RequestCompletionSystem completionSystem;

	private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

	private final PeriodicTrigger trigger = new PeriodicTrigger(100);

	AttemptSystem(CoreContext context, QueueSystem queueSystem, PlacementSystem placementSystem,
			IdempotencyClaimSystem claimSystem, RequestCompletionSystem completionSystem) {
		this.context = context;
		this.queueSystem = queueSystem;
		this.placementSystem = placementSystem;
		this.claimSystem = claimSystem;
		this.completionSystem = completionSystem;
	}

	void onTokensReceived(Event.TokensReceived event) {
		this.context.requests.findAttempt(event.attemptId()).ifPresent((attempt) -> {
			RequestEntry request = attempt.request;
			if (event.outputTokens() > attempt.outputTokens) {
				this.context.outputLengths.recordGrowth(request, attempt.outputTokens, event.outputTokens());
				attempt.outputTokens = event.outputTokens();
			}
			attempt.lastProgressMillis = this.context.nowMillis;
			attempt.server.consecutiveFailures = 0;
			if (request.spec.streamed()) {
				request.deliveredTokens = attempt.outputTokens;
			}
		});
	}

	void onAttemptEnded(Event.AttemptEnded event) {
		Optional<AttemptEntry> found = this.context.requests.findAttempt(event.attemptId());
		if (found.isEmpty()) {
			this.context.incrementCounter("late_attempt_ends");
			return;
		}
		AttemptEntry attempt = found.get();
		remove(attempt);
		if (event.result() instanceof AttemptResult.Generated generated) {
			handleGenerated(attempt, generated.outputTokens());
		}
		else if (event.result() instanceof AttemptResult.Responded responded) {
			handleResponse(attempt, responded);
		}
		else if (event.result() instanceof AttemptResult.Failed failed) {
			attempt.server.consecutiveFailures++;
			backOff(attempt.server);
			handleFailure(attempt, failed, ErrorCode.BACKEND_FAILED);
		}
	}

	void onCallerDisconnected(long requestId) {
		Optional<RequestEntry> found = this.context.requests.find(requestId);
		if (found.isEmpty()) {
			return;
		}
		RequestEntry request = found.get();
		this.context.incrementCounter("callers_disconnected");
		if (request.currentAttempt().isEmpty()) {
			this.context.queueFor(request.service.name()).removeIf((waiting) -> waiting == request);
			this.context.requests.remove(request);
			request.claim().filter((claim) -> claim.version > 0).ifPresent(this.claimSystem::release);
		}
		else if (request.spec.idempotent()) {
			cancel(request.currentAttempt);
			this.context.requests.remove(request);
		}
	}

	void tick() {
		if (this.trigger.fireIfDue(this.context.nowMillis)) {
			List.copyOf(this.context.requests.attempts()).forEach(this::checkProgress);
		}
	}

	private void checkProgress(AttemptEntry attempt) {
		long idleMillis = this.context.nowMillis - attempt.lastProgressMillis;
		if (idleMillis >= attempt.request.service.stallTimeoutMillis()) {
			this.context.incrementCounter("stalled_attempts");
			cancel(attempt);
			handleFailure(attempt, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, true), ErrorCode.TIMED_OUT);
			return;
		}
		if (shouldMigrate(attempt)) {
			this.context.incrementCounter("moved_attempts");
			cancel(attempt);
			attempt.request.triedServers.add(attempt.server.serverId);
			attempt.request.mayHaveRun = true;
			this.queueSystem.requeueFirst(attempt.request);
		}
	}

	// Only generations without output move off a server that is no longer in service.
	private boolean shouldMigrate(AttemptEntry attempt) {
		RequestEntry request = attempt.request;
		boolean outOfService = !attempt.server.isInService();
		boolean restartable = attempt.outputTokens == 0 && request.spec.idempotent();
		return outOfService && restartable && request.attemptCount < CoreLimits.MAXIMUM_ATTEMPTS_PER_REQUEST
				&& request.service.kind() == ServiceKind.GENERATION
				&& this.placementSystem.chooseServer(request).isPresent();
	}

	private void handleGenerated(AttemptEntry attempt, int outputTokens) {
		RequestEntry request = attempt.request;
		attempt.server.consecutiveFailures = 0;
		if (outputTokens > attempt.outputTokens) {
			this.context.outputLengths.recordGrowth(request, attempt.outputTokens, outputTokens);
		}
		this.context.outputLengths.recordEnd(request, outputTokens);
		retryBudgetFor(request).recordCompletedRequest();
		this.context.incrementCounter("completed");
		this.completionSystem.finish(request, new Outcome.Completed(outputTokens));
	}

	private void handleResponse(AttemptEntry attempt, AttemptResult.Responded responded) {
		RequestEntry request = attempt.request;
		attempt.server.consecutiveFailures = 0;
		retryBudgetFor(request).recordCompletedRequest();
		request.claim().ifPresent((claim) -> this.claimSystem.recordResponse(claim, responded.response()));
		this.context.incrementCounter("completed");
		this.completionSystem.finish(request, new Outcome.Completed(0));
	}

	private void handleFailure(AttemptEntry attempt, AttemptResult.Failed failed, ErrorCode code) {
		RequestEntry request = attempt.request;
		boolean notRun = failed.verdict() == Verdict.NOT_RUN;
		this.context.incrementCounter(notRun ? "attempts_not_run" : "attempts_failed");
		if (!notRun) {
			request.mayHaveRun = true;
		}
		if (request.deliveredTokens > 0) {
			resumeOrFail(attempt, failed.resumable(), code);
			return;
		}
		request.triedServers.add(attempt.server.serverId);
		boolean retryAllowed = notRun || request.spec.idempotent();
		if (retryAllowed && request.attemptCount < CoreLimits.MAXIMUM_ATTEMPTS_PER_REQUEST
				&& retryBudgetFor(request).tryAcquireRetry()) {
			this.context.incrementCounter("retries");
			this.queueSystem.requeueFirst(request);
			return;
		}
		this.queueSystem.failWithRetryAfter(request, code);
	}

	private void resumeOrFail(AttemptEntry attempt, boolean resumable, ErrorCode code) {
		RequestEntry request = attempt.request;
		if (resumable && !attempt.resumed) {
			this.context.incrementCounter("resumed_attempts");
			this.placementSystem.place(request, attempt.server, request.deliveredTokens);
			return;
		}
		this.context.incrementCounter("interrupted");
		long retryAfterMillis = (long) (INTERRUPTED_RETRY_AFTER_MILLIS * (1 + this.context.random.nextDouble()));
		this.completionSystem.fail(request, code, Verdict.MAY_HAVE_RUN, retryAfterMillis);
	}

	private void cancel(AttemptEntry attempt) {
		this.context.emit(new Action.CancelAttempt(attempt.attemptId));
		remove(attempt);
	}

	private void remove(AttemptEntry attempt) {
		this.context.requests.removeAttempt(attempt);
		ServerEntry server = attempt.server;
		server.attempts.remove(attempt);
		attempt.request.currentAttempt = null;
		if (!attempt.coveredByReport) {
			server.unreportedPlacements = Math.max(0, server.unreportedPlacements - 1);
			server.unreportedBlocks = Math.max(0, server.unreportedBlocks - attempt.reservedBlocks);
		}
	}

	// Excludes a failing server for a jittered interval that doubles with each
	// consecutive failure, and in any case until it sends a newer load report.
	private void backOff(ServerEntry server) {
		int doublings = Math.min(MAXIMUM_BACKOFF_DOUBLINGS, server.consecutiveFailures - 1);
		double jitter = 0.5 + this.context.random.nextDouble();
		long backoffMillis = (long) (BASE_BACKOFF_MILLIS * (1L << doublings) * jitter);
		server.backoffUntilMillis = this.context.nowMillis + backoffMillis;
		server.suspectSinceMillis = this.context.nowMillis;
	}

	private RetryBudget retryBudgetFor(RequestEntry request) {
		return this.retryBudgets.computeIfAbsent(request.service.name(), (name) -> new RetryBudget());
	}

}
