package org.skylarkspring.core.internal;

import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.ServicePolicy;
import org.skylarkspring.core.config.WorkspacePolicy;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RefusalCode;
import org.skylarkspring.core.model.Verdict;

/**
 * Takes new requests in: checks them, claims their key and queues them.
 */
final class IntakeSystem {

	/** Time during which an instance that shuts down still accepts new requests. */
	private static final long BALANCER_LAG_MILLIS = 5_000;

	private static final long NOT_READY_RETRY_MILLIS = 2_000;

	private static final long KEY_IN_PROGRESS_RETRY_MILLIS = 2_000;

	/** Further looks at a claim whose answer may be about to be recorded. */
	private static final int CLAIM_CHECKS = 2;

	private static final long CLAIM_CHECK_MILLIS = 150;

	private static final long STORE_RETRY_MILLIS = 5_000;

	private final CoreContext context;

	private final QueueSystem queue;

	private final ClaimSystem claims;

	private final FinishSystem finish;

	private final DelayedTasks delayed;

	private long shutdownAtMillis = Long.MAX_VALUE;

	private boolean shutdownReported;

	IntakeSystem(CoreContext context, QueueSystem queue, ClaimSystem claims, FinishSystem finish,
			DelayedTasks delayed) {
		this.context = context;
		this.queue = queue;
		this.claims = claims;
		this.finish = finish;
		this.delayed = delayed;
	}

	void arrived(Event.RequestArrived event) {
		this.context.count("requests");
		Optional<ServicePolicy> service = this.context.service(event.spec().service());
		Optional<WorkspacePolicy> workspace = this.context.workspace(event.spec().workspace());
		Optional<RefusalCode> fault = fault(service, workspace);
		if (fault.isPresent()) {
			refuseUnknown(event.requestId(), fault.get());
			return;
		}
		RequestEntry request = new RequestEntry(event.requestId(), event.spec(), service.get(), workspace.get(),
				this.context.nowMillis);
		this.context.requests.add(request);
		if (request.spec.repeatable()) {
			this.queue.enqueue(request);
			return;
		}
		claimKey(request);
	}

	void shutdownRequested() {
		if (!this.context.shuttingDown) {
			this.context.shuttingDown = true;
			this.shutdownAtMillis = this.context.nowMillis;
			this.context.changed("instance " + this.context.instanceId, "shutting down");
		}
	}

	void tick() {
		boolean closed = closed() && this.context.requests.size() == 0;
		if (closed && !this.shutdownReported) {
			this.shutdownReported = true;
			this.context.emit(new Action.ShutdownComplete());
		}
	}

	private Optional<RefusalCode> fault(Optional<ServicePolicy> service, Optional<WorkspacePolicy> workspace) {
		if (closed()) {
			return Optional.of(RefusalCode.SHUTTING_DOWN);
		}
		if (this.context.configuration().isEmpty()) {
			return Optional.of(RefusalCode.NOT_READY);
		}
		if (workspace.isEmpty()) {
			return Optional.of(RefusalCode.UNKNOWN_KEY);
		}
		boolean allowed = service.isPresent() && workspace.get().services().contains(service.get().name());
		return allowed ? Optional.empty() : Optional.of(RefusalCode.UNKNOWN_SERVICE);
	}

	private boolean closed() {
		return this.context.shuttingDown && this.context.nowMillis - this.shutdownAtMillis >= BALANCER_LAG_MILLIS;
	}

	private void refuseUnknown(long requestId, RefusalCode code) {
		this.context.count("refused_" + code.wireName());
		boolean temporary = code == RefusalCode.SHUTTING_DOWN || code == RefusalCode.NOT_READY;
		Outcome outcome = new Outcome.Refused(code, Verdict.NOT_RUN, 0, temporary ? NOT_READY_RETRY_MILLIS : 0);
		this.context.emit(new Action.FinishRequest(requestId, outcome));
	}

	private void claimKey(RequestEntry request) {
		Optional<RefusalCode> fault = this.claims.checkKey(request);
		if (fault.isPresent()) {
			Verdict verdict = (fault.get() == RefusalCode.KEY_EXPIRED) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
			this.finish.refuse(request, fault.get(), verdict, 0);
			return;
		}
		this.claims.claim(request, (result) -> claimed(request, result));
	}

	private void claimAgain(RequestEntry request) {
		if (this.context.requests.find(request.requestId).isPresent()) {
			this.claims.claim(request, (result) -> claimed(request, result));
		}
	}

	private void claimed(RequestEntry request, ClaimSystem.ClaimResult result) {
		boolean callerGone = this.context.requests.find(request.requestId).isEmpty();
		if (result instanceof ClaimSystem.ClaimResult.Granted) {
			if (callerGone) {
				this.claims.release(request.claim);
				return;
			}
			this.queue.enqueue(request);
		}
		else if (!callerGone) {
			refuseClaim(request, result);
		}
	}

	private void refuseClaim(RequestEntry request, ClaimSystem.ClaimResult result) {
		if (result instanceof ClaimSystem.ClaimResult.Finished finished) {
			this.context.count("replayed_answers");
			this.finish.finish(request, new Outcome.Replayed(finished.answer()));
			return;
		}
		if (result instanceof ClaimSystem.ClaimResult.Unreachable unreachable) {
			if (!unreachable.claimed()) {
				request.claim = null;
			}
			this.finish.refuse(request, RefusalCode.STORE_UNAVAILABLE, Verdict.NOT_RUN, STORE_RETRY_MILLIS);
			return;
		}
		boolean recordedSoon = result instanceof ClaimSystem.ClaimResult.Started && request.claimChecks < CLAIM_CHECKS;
		if (recordedSoon) {
			request.claimChecks++;
			this.delayed.after(CLAIM_CHECK_MILLIS, () -> claimAgain(request));
			return;
		}
		request.claim = null;
		if (result instanceof ClaimSystem.ClaimResult.OtherBody) {
			this.finish.refuse(request, RefusalCode.KEY_REUSED, Verdict.NOT_RUN, 0);
			return;
		}
		this.finish.refuse(request, RefusalCode.KEY_IN_PROGRESS, Verdict.MAY_HAVE_RUN, KEY_IN_PROGRESS_RETRY_MILLIS);
	}

}
