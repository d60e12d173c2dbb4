package org.skylarkspring.gateway.model;

import java.util.Optional;

/**
 * Result of asking a server whether it runs a generation, or of ordering it to stop one.
 */
public sealed interface StopResult {

	/**
	 * The server does not run the generation any more.
	 *
	 * @param handle identifier of the KV cache that the server kept when it stopped the
	 * generation because of this order, empty if the generation had ended before
	 */
	record Stopped(Optional<String> handle) implements StopResult {
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
