package org.skylarkspring.core.internal;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.Verdict;

/**
 * Completes requests: emits the final outcome and removes them from the request table.
 */
final class RequestCompletionSystem {

	private final CoreContext context;

	private final IdempotencyClaimSystem claimSystem;

	RequestCompletionSystem(CoreContext context, IdempotencyClaimSystem claimSystem) {
		this.context = context;
		this.claimSystem = claimSystem;
	}

	void finish(RequestEntry request, Outcome outcome) {
		this.context.requests.remove(request);
		this.context.emit(new Action.FinishRequest(request.requestId, outcome));
	}

	/**
	 * Fails a request and releases its claim if the request has not run.
	 * @param request the request
	 * @param code the error code for the caller
	 * @param verdict whether the request may have run
	 * @param retryAfterMillis delay in milliseconds before the caller may retry, 0 if it
	 * should not retry
	 */
	void fail(RequestEntry request, ErrorCode code, Verdict verdict, long retryAfterMillis) {
		this.context.incrementCounter("refused_" + code.wireName());
		if (verdict == Verdict.NOT_RUN) {
			request.claim().ifPresent(this.claimSystem::release);
		}
		finish(request, new Outcome.Failed(code, verdict, request.deliveredTokens, retryAfterMillis));
	}

}
