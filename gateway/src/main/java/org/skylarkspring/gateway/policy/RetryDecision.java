package org.skylarkspring.gateway.policy;

/**
 * Next step for a request after an attempt that received no complete response.
 */
public enum RetryDecision {

	/** Dispatch the request to a server again. */
	RETRY,

	/** Reject the request: it has not run and will not run. */
	REJECT,

	/** Respond with an error that does not state whether the request has run. */
	FAIL,

	/** Close the connection, because the caller has received part of the response. */
	CLOSE_CONNECTION

}
