package org.skylarkspring.core.internal;

import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.ServiceConfiguration;
import org.skylarkspring.core.config.WorkspaceConfiguration;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.Verdict;

/**
 * Accepts new requests: validates them, claims their idempotency key and queues them.
 * Stops accepting a few seconds after a shutdown request, and then reports the shutdown
 * as complete when no requests remain.
 */
final class IntakeSystem {

	/**
	 * Time after a shutdown request during which new requests are still accepted, because
	 * load balancers continue to send them for a while.
	 */
	private static final long LOAD_BALANCER_LAG_MILLIS = 5_000;

	private static final long NOT_READY_RETRY_AFTER_MILLIS = 2_000;

	private static final long KEY_IN_PROGRESS_RETRY_AFTER_MILLIS = 2_000;

	/** Rechecks of a claim in progress, as its response may be about to be recorded. */
	private static final int MAXIMUM_CLAIM_RECHECKS = 2;

	private static final long CLAIM_RECHECK_DELAY_MILLIS = 150;

	private static final long STORE_UNAVAILABLE_RETRY_AFTER_MILLIS = 5_000;

	private final CoreContext context;

	private final QueueSystem queueSystem;

	private final IdempotencyClaimSystem claimSystem;

	private final RequestCompletionSystem completionSystem;

	private final DelayedTaskQueue delayedTasks;

	private long shutdownAtMillis = Long.MAX_VALUE;

	private boolean shutdownCompleteEmitted;

	IntakeSystem(CoreContext context, QueueSystem queueSystem, IdempotencyClaimSystem claimSystem,
			RequestCompletionSystem completionSystem, DelayedTaskQueue delayedTasks) {
		this.context = context;
		this.queueSystem = queueSystem;
		this.claimSystem = claimSystem;
		this.completionSystem = completionSystem;
		this.delayedTasks = delayedTasks;
	}

	void onRequestArrived(Event.RequestArrived event) {
		this.context.incrementCounter("requests");
		Optional<ServiceConfiguration> service = this.context.service(event.spec().service());
		Optional<WorkspaceConfiguration> workspace = this.context.workspace(event.spec().workspace());
		Optional<ErrorCode> rejection = findRejectionReason(service, workspace);
		if (rejection.isPresent()) {
			rejectUnregistered(event.requestId(), rejection.get());
			return;
		}
		RequestEntry request = new RequestEntry(event.requestId(), event.spec(), service.get(), workspace.get(),
				this.context.nowMillis);
		this.context.requests.add(request);
		if (request.spec.idempotent()) {
			this.queueSystem.enqueue(request);
			return;
		}
		acquireClaim(request);
	}

	void onShutdownRequested() {
		if (!this.context.shuttingDown) {
			this.context.shuttingDown = true;
			this.shutdownAtMillis = this.context.nowMillis;
			this.context.emitStateChange("instance " + this.context.instanceId, "shutting down");
		}
	}

	void tick() {
		boolean shutdownComplete = isClosed() && this.context.requests.size() == 0;
		if (shutdownComplete && !this.shutdownCompleteEmitted) {
			this.shutdownCompleteEmitted = true;
			this.context.emit(new Action.ShutdownComplete());
		}
	}

	private Optional<ErrorCode> findRejectionReason(Optional<ServiceConfiguration> service,
			Optional<WorkspaceConfiguration> workspace) {
		if (isClosed()) {
			return Optional.of(ErrorCode.SHUTTING_DOWN);
		}
		if (this.context.configuration().isEmpty()) {
			return Optional.of(ErrorCode.NOT_READY);
		}
		if (workspace.isEmpty()) {
			return Optional.of(ErrorCode.UNKNOWN_KEY);
		}
		boolean allowed = service.isPresent() && workspace.get().services().contains(service.get().name());
		return allowed ? Optional.empty() : Optional.of(ErrorCode.UNKNOWN_SERVICE);
	}

	private boolean isClosed() {
		return this.context.shuttingDown && this.context.nowMillis - this.shutdownAtMillis >= LOAD_BALANCER_LAG_MILLIS;
	}

	private void rejectUnregistered(long requestId, ErrorCode code) {
		this.context.incrementCounter("refused_" + code.wireName());
		boolean temporary = code == ErrorCode.SHUTTING_DOWN || code == ErrorCode.NOT_READY;
		Outcome outcome = new Outcome.Failed(code, Verdict.NOT_RUN, 0, temporary ? NOT_READY_RETRY_AFTER_MILLIS : 0);
		this.context.emit(new Action.FinishRequest(requestId, outcome));
	}

	private void acquireClaim(RequestEntry request) {
		Optional<ErrorCode> rejection = this.claimSystem.validateKey(request);
		if (rejection.isPresent()) {
			Verdict verdict = (rejection.get() == ErrorCode.KEY_EXPIRED) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
			this.completionSystem.fail(request, rejection.get(), verdict, 0);
			return;
		}
		this.claimSystem.acquire(request, (result) -> onClaimResult(request, result));
	}

	private void retryClaim(RequestEntry request) {
		if (this.context.requests.find(request.requestId).isPresent()) {
			this.claimSystem.acquire(request, (result) -> onClaimResult(request, result));
		}
	}

	private void onClaimResult(RequestEntry request, IdempotencyClaimSystem.ClaimResult result) {
		boolean callerDisconnected = this.context.requests.find(request.requestId).isEmpty();
		if (result instanceof IdempotencyClaimSystem.ClaimResult.Granted) {
			if (callerDisconnected) {
				this.claimSystem.release(request.claim);
				return;
			}
			this.queueSystem.enqueue(request);
		}
		else if (!callerDisconnected) {
			handleDeniedClaim(request, result);
		}
	}

	private void handleDeniedClaim(RequestEntry request, IdempotencyClaimSystem.ClaimResult result) {
		if (result instanceof IdempotencyClaimSystem.ClaimResult.AlreadyFinished finished) {
			this.context.incrementCounter("replayed_answers");
			this.completionSystem.finish(request, new Outcome.Replayed(finished.response()));
			return;
		}
		if (result instanceof IdempotencyClaimSystem.ClaimResult.StoreUnavailable unavailable) {
			if (!unavailable.mayHaveBeenWritten()) {
				request.claim = null;
			}
			this.completionSystem.fail(request, ErrorCode.STORE_UNAVAILABLE, Verdict.NOT_RUN,
					STORE_UNAVAILABLE_RETRY_AFTER_MILLIS);
			return;
		}
		boolean recheck = result instanceof IdempotencyClaimSystem.ClaimResult.InProgress
				&& request.claimRechecks < MAXIMUM_CLAIM_RECHECKS;
		if (recheck) {
			request.claimRechecks++;
			this.delayedTasks.schedule(CLAIM_RECHECK_DELAY_MILLIS, () -> retryClaim(request));
			return;
		}
		request.claim = null;
		if (result instanceof IdempotencyClaimSystem.ClaimResult.BodyMismatch) {
			this.completionSystem.fail(request, ErrorCode.KEY_REUSED, Verdict.NOT_RUN, 0);
			return;
		}
		this.completionSystem.fail(request, ErrorCode.KEY_IN_PROGRESS, Verdict.MAY_HAVE_RUN,
				KEY_IN_PROGRESS_RETRY_AFTER_MILLIS);
	}

}
