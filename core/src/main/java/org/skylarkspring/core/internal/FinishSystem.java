package org.skylarkspring.core.internal;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RefusalCode;
import org.skylarkspring.core.model.Verdict;

/**
 * Gives requests their final answer and forgets them.
 */
final class FinishSystem {

	private final CoreContext context;

	private final ClaimSystem claims;

	FinishSystem(CoreContext context, ClaimSystem claims) {
		this.context = context;
		this.claims = claims;
	}

	void finish(RequestEntry request, Outcome outcome) {
		this.context.requests.remove(request);
		this.context.emit(new Action.FinishRequest(request.requestId, outcome));
	}

	/**
	 * Refuses a request and releases its claim if it has not run.
	 * @param request the request
	 * @param code the reason
	 * @param verdict whether the request may have run
	 * @param retryAfterMillis when to come back, 0 for never
	 */
	void refuse(RequestEntry request, RefusalCode code, Verdict verdict, long retryAfterMillis) {
		this.context.count("refused_" + code.wireName());
		if (verdict == Verdict.NOT_RUN) {
			request.claim().ifPresent(this.claims::release);
		}
		finish(request, new Outcome.Refused(code, verdict, request.deliveredTokens, retryAfterMillis));
	}

}
