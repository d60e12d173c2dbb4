package org.skylarkspring.gateway.model;

/**
 * How often a request may run and whether its response is a stream.
 */
public enum RequestSemantics {

	/** May run any number of times. */
	IDEMPOTENT(false, true),

	/** May run at most once. */
	AT_MOST_ONCE(false, false),

	/** The response is a stream of events; may run at most once. */
	STREAM(true, false),

	/** The response is a stream that another server can resume after a given event. */
	RESUMABLE_STREAM(true, true);

	private final boolean streaming;

	private final boolean retryable;

	RequestSemantics(boolean streaming, boolean retryable) {
		this.streaming = streaming;
		this.retryable = retryable;
	}

	/**
	 * Returns whether the response is a stream of events.
	 * @return {@code true} for streams
	 */
	public boolean isStreaming() {
		return this.streaming;
	}

	/**
	 * Returns whether a request that may have run may be sent again.
	 * @return {@code true} if it may be retried
	 */
	public boolean isRetryable() {
		return this.retryable;
	}

}
