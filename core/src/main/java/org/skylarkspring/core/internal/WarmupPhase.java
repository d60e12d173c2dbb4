package org.skylarkspring.core.internal;

/**
 * Warm-up phase of a backend server.
 */
enum WarmupPhase {

	/** No report was received yet, so the incarnation is unknown. */
	COLD,

	/** The server bears only part of its full load. */
	WARMING,

	/** The server bears full load. */
	WARM

}
