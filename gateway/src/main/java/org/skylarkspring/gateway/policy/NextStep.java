package org.skylarkspring.gateway.policy;

/**
 * What becomes of a request whose attempt did not bring an answer.
 */
public enum NextStep {

	/** Place it on a server again. */
	PLACE_AGAIN,

	/** Refuse it: it has not run and will not. */
	REFUSE,

	/** Answer with a failure that promises nothing. */
	FAIL,

	/** Close the connection, since part of the answer was passed on. */
	CUT

}
