package org.skylarkspring.core.model;

/**
 * Stable codes of rejected and failed requests, with the HTTP status of each.
 */
public enum ErrorCode {

	/**
	 * The request cannot be started before its deadline, or the instance has reached its
	 * limit of connections, open requests or queued requests.
	 */
	OVERLOADED("overloaded", 503),

	/**
	 * No backend server of the service is in service, or the request has been tried on
	 * all of them.
	 */
	NO_CAPACITY("no-capacity", 503),

	/** The instance has no configuration yet. */
	NOT_READY("not-ready", 503),

	/** The instance is shutting down. */
	SHUTTING_DOWN("shutting-down", 503),

	/**
	 * The platform's store cannot be reached, so that the idempotency key of a request
	 * cannot be claimed.
	 */
	STORE_UNAVAILABLE("store-unavailable", 503),

	/** The service does not exist or the workspace is not allowed to use it. */
	UNKNOWN_SERVICE("unknown-service", 404),

	/** The bearer key matches no workspace. */
	UNKNOWN_KEY("unknown-key", 401),

	/** The request body is malformed. */
	MALFORMED("malformed", 400),

	/** The request body is larger than the service allows. */
	TOO_LARGE("too-large", 413),

	/** The request was not completely received within the allowed time. */
	TOO_SLOW("too-slow", 408),

	/** The request must run at most once but has no idempotency key. */
	KEY_REQUIRED("key-required", 400),

	/** The idempotency key is not a version 7 UUID or was issued in the future. */
	KEY_MALFORMED("key-malformed", 400),

	/** The idempotency key is older than the retention period. */
	KEY_EXPIRED("key-expired", 410),

	/** The idempotency key was used before with a different body. */
	KEY_REUSED("key-reused", 422),

	/**
	 * A request with this idempotency key has started, but its result is not recorded.
	 */
	KEY_IN_PROGRESS("key-in-progress", 409),

	/** The request has run, but its response was too large to record. */
	ANSWER_NOT_KEPT("answer-not-kept", 409),

	/** An attempt failed on a backend server and the request could not be retried. */
	BACKEND_FAILED("backend-failed", 502),

	/**
	 * The backend server sent nothing for the stall timeout of the service and the
	 * request could not be retried.
	 */
	TIMED_OUT("timed-out", 504);

	private final String wireName;

	private final int httpStatus;

	ErrorCode(String wireName, int httpStatus) {
		this.wireName = wireName;
		this.httpStatus = httpStatus;
	}

	/**
	 * Returns the stable code sent to callers.
	 * @return the code, never {@code null}
	 */
	public String wireName() {
		return this.wireName;
	}

	/**
	 * Returns the HTTP status of the error response.
	 * @return a status from 400 to 599
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

}
