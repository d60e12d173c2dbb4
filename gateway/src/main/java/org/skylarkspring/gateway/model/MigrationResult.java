package org.skylarkspring.gateway.model;

/**
 * Result of copying the KV cache of a running generation to another server.
 */
public sealed interface MigrationResult {

	/**
	 * The copy is complete.
	 *
	 * @param handle identifier of the copy
	 * @param eventsMade number of events generated so far
	 */
	record Copied(String handle, long eventsMade) implements MigrationResult {
	}

	/** The server runs no such generation; it may have completed in the meantime. */
	record Unknown() implements MigrationResult {
	}

	/**
	 * The server rejected the copy.
	 *
	 * @param reason reason given by the server, for logs
	 */
	record Refused(String reason) implements MigrationResult {
	}

	/**
	 * The call failed, so it is unknown whether the copy was made.
	 *
	 * @param reason what went wrong, for logs
	 */
	record Unanswered(String reason) implements MigrationResult {
	}

}
