package org.skylarkspring.core.internal;

/**
 * Warm-up phase of a backend server.
 */
enum WarmupPhase {

	/**
	 * The incarnation is unknown: neither a load report nor another instance's warm-up
	 * record has been received yet.
	 */
	COLD,

	/** The server accepts only part of its full concurrency. */
	WARMING,

	/** The server accepts its full concurrency. */
	WARM

}
