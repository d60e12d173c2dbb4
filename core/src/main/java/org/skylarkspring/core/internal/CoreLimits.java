package org.skylarkspring.core.internal;

/**
 * Limits and periods shared by several systems.
 */
final class CoreLimits {

	/** Maximum dispatches of one request, including the first. */
	static final int MAXIMUM_ATTEMPTS_PER_REQUEST = 3;

	/** Age at which a load report expires. */
	static final long REPORT_EXPIRY_MILLIS = 15_000;

	/** Maximum requests that one instance queues across all services. */
	static final int MAXIMUM_QUEUED_REQUESTS = 20_000;

	private CoreLimits() {
	}

}
