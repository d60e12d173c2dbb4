package org.skylarkspring.core.internal;

/**
 * Warm-up phase of a backend server.
 */
enum WarmupPhase {

	/** No load report has been received yet, so the incarnation is unknown. */
	COLD,

	/** The server accepts only part of its full concurrency. */
	WARMING,

	/** The server accepts its full concurrency. */
	WARM

}
