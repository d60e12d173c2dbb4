package org.skylarkspring.core.internal;

/**
 * Limits and periods shared by several systems.
 */
final class CoreLimits {

	/** Dispatches of one request, the first included. */
	static final int MAXIMUM_ATTEMPTS_PER_REQUEST = 3;

	/** Age at which a load report no longer counts. */
	static final long REPORT_EXPIRY_MILLIS = 15_000;

	/** Requests that one instance queues for all services together. */
	static final int MAXIMUM_QUEUED_REQUESTS = 20_000;

	private CoreLimits() {
	}

}
