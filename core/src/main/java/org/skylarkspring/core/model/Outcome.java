package org.skylarkspring.core.model;

/**
 * The final result of a request.
 */
public sealed interface Outcome {

	/**
	 * The complete response was delivered.
	 *
	 * @param outputTokens number of tokens delivered, 0 for a plain service
	 */
	record Completed(int outputTokens) implements Outcome {
	}

	/**
	 * The recorded response of an earlier request with the same idempotency key was
	 * returned.
	 *
	 * @param response the recorded response
	 */
	record Replayed(RecordedResponse response) implements Outcome {
	}

	/**
	 * The request failed before or during delivery of the response.
	 *
	 * @param errorCode cause of the failure
	 * @param verdict whether the request may have run
	 * @param deliveredTokens number of tokens already delivered to the caller
	 * @param retryAfterMillis time in milliseconds after which the caller should retry, 0
	 * if it should not retry
	 */
	record Failed(ErrorCode errorCode, Verdict verdict, int deliveredTokens, long retryAfterMillis) implements Outcome {
	}

}
