package org.skylarkspring.gateway.internal;

/**
 * Receives the ends of attempts that a server is accountable for. Attempts that were not
 * sent or that the server refused say nothing about its version: it may be cold, full or
 * unreachable.
 */
@FunctionalInterface
interface AttemptListener {

	/**
	 * Called when an attempt has ended other than by a decision of this instance.
	 * @param attempt the attempt
	 * @param failed whether it brought no complete response without a server error
	 */
	void onAttemptEnded(ServerAttempt attempt, boolean failed);

}
