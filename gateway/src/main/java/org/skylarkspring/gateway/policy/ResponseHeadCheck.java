package org.skylarkspring.gateway.policy;

import java.util.Optional;
import java.util.Set;

import org.skylarkspring.gateway.model.ResponseHead;

/**
 * Decides what the head of a server's response says about the request that it was
 * received for. A statement that the request was not executed is believed only if the
 * head carries the id of the request: a faulty server may write an earlier refusal once
 * more, and execute the request all the same.
 *
 * @param status status code of the response
 * @param head information taken from the headers
 * @param requestId id of the request
 */
public record ResponseHeadCheck(int status, ResponseHead head, String requestId) {

	private static final int LOWEST_FINAL_STATUS = 200;

	private static final int LOWEST_ERROR_STATUS = 400;

	private static final int MISDIRECTED_REQUEST = 421;

	/** Status codes that tell a caller that its request was not executed. */
	private static final Set<Integer> PROMISES_TO_CALLERS = Set.of(408, MISDIRECTED_REQUEST, 429, 503);

	/**
	 * Returns whether the response may belong to the request.
	 * @return {@code false} if it carries the id of another request
	 */
	public boolean mayBelongToRequest() {
		return this.head.requestId().map(this.requestId::equals).orElse(true);
	}

	/**
	 * Returns whether the server has refused the request and will not execute it.
	 * @return {@code true} if it certainly has
	 */
	public boolean isRefusal() {
		boolean sameId = this.head.requestId().filter(this.requestId::equals).isPresent();
		return sameId && this.status >= LOWEST_ERROR_STATUS && claimsNotExecuted();
	}

	/**
	 * Describes why nothing follows from the response: the request may have been executed
	 * or not, and the response must not be passed on.
	 * @return description for logs, empty if the response is a refusal or can be passed
	 * on
	 */
	public Optional<String> describeFault() {
		if (!mayBelongToRequest()) {
			return Optional.of("response carries the id of another request");
		}
		if (this.status < LOWEST_FINAL_STATUS) {
			return Optional.of("interim status " + this.status + " instead of a response");
		}
		if (isRefusal()) {
			return Optional.empty();
		}
		if (claimsNotExecuted()) {
			return Optional.of("status " + this.status + " claims that the request was not executed, id "
					+ this.head.requestId().orElse("missing"));
		}
		return PROMISES_TO_CALLERS.contains(this.status)
				? Optional.of("status " + this.status + " without the statement that the request was not executed")
				: Optional.empty();
	}

	private boolean claimsNotExecuted() {
		return this.head.notExecuted() || this.status == MISDIRECTED_REQUEST;
	}

}
