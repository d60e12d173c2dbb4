package org.skylarkspring.gateway.policy;

/**
 * What becomes of a request whose attempt did not bring an answer.
 */
public enum RetryDecision {

	/** Place it on a server again. */
	RETRY,

	/** Refuse it: it has not run and will not. */
	REJECT,

	/** Answer with a failure that promises nothing. */
	FAIL,

	/** Close the connection, since part of the answer was passed on. */
	CLOSE_CONNECTION

}
