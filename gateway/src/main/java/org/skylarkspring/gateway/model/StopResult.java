package org.skylarkspring.gateway.model;

/**
 * Result of ordering a server to stop a generation.
 */
public sealed interface StopResult {

	/**
	 * The server has stopped the generation because of this order.
	 *
	 * @param handle identifier of the KV cache that the server kept
	 * @param copied whether the KV cache was also copied to the other server
	 */
	record Stopped(String handle, boolean copied) implements StopResult {
	}

	/** The server does not know the generation: it has ended, or was preempted. */
	record Unknown() implements StopResult {
	}

	/**
	 * The server answered, but does not say that it has stopped the generation.
	 *
	 * @param reason reason given by the server, for logs
	 */
	record NotStopped(String reason) implements StopResult {
	}

	/**
	 * The order was not answered, so it is unknown whether the server runs the
	 * generation.
	 *
	 * @param reason what went wrong, for logs
	 */
	record Unanswered(String reason) implements StopResult {
	}

}
