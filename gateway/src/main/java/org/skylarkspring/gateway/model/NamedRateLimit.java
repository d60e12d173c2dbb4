package org.skylarkspring.gateway.model;

/**
 * What a response of a server says about the request rate that the server accepts from
 * all instances together.
 */
public sealed interface NamedRateLimit {

	/** The server names no limit. */
	record None() implements NamedRateLimit {
	}

	/**
	 * The server names a limit.
	 *
	 * @param requestsPerSecond requests per second, greater than 0
	 */
	record Limited(double requestsPerSecond) implements NamedRateLimit {
	}

	/**
	 * The server names a limit that is not a usable number.
	 *
	 * @param text the text received, for logs
	 */
	record Invalid(String text) implements NamedRateLimit {
	}

}
