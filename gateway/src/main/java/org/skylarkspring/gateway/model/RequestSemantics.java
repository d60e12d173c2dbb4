package org.skylarkspring.gateway.model;

/**
 * Says how often a request may run and whether its answer is a stream.
 */
public enum RequestSemantics {

	/** May run any number of times. */
	IDEMPOTENT(false, true),

	/** May run once at most. */
	AT_MOST_ONCE(false, false),

	/** Answered by a stream of events; may run once at most. */
	STREAM(true, false),

	/** Answered by a stream that another server may continue after a given event. */
	RESUMABLE_STREAM(true, true);

	private final boolean streaming;

	private final boolean retryable;

	RequestSemantics(boolean streaming, boolean retryable) {
		this.streaming = streaming;
		this.retryable = retryable;
	}

	/**
	 * Returns whether the answer is a stream of events.
	 * @return {@code true} for streams
	 */
	public boolean isStreaming() {
		return this.streaming;
	}

	/**
	 * Returns whether a request that may have run may be sent again.
	 * @return {@code true} if it may
	 */
	public boolean isRetryable() {
		return this.retryable;
	}

}
