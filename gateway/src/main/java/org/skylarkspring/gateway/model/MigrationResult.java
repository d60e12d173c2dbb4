package org.skylarkspring.gateway.model;

/**
 * Outcome of copying a running generation to another server.
 */
public sealed interface MigrationResult {

	/**
	 * The copy is complete.
	 *
	 * @param handle name of the copy
	 * @param eventsMade number of events generated so far
	 */
	record Copied(String handle, long eventsMade) implements MigrationResult {
	}

	/** The server runs no such generation; it may just have ended. */
	record Unknown() implements MigrationResult {
	}

	/**
	 * The copy was not made.
	 *
	 * @param reason what the server said, for logs
	 */
	record Refused(String reason) implements MigrationResult {
	}

	/**
	 * Nobody knows whether the copy was made.
	 *
	 * @param reason what went wrong, for logs
	 */
	record Unanswered(String reason) implements MigrationResult {
	}

}
