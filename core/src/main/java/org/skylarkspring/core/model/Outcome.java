package org.skylarkspring.core.model;

/**
 * The final result of a request.
 */
public sealed interface Outcome {

	/**
	 * The whole answer was delivered.
	 *
	 * @param outputTokens number of tokens delivered, 0 for a plain service
	 */
	record Completed(int outputTokens) implements Outcome {
	}

	/**
	 * The answer that an earlier request with the same key produced.
	 *
	 * @param response the recorded answer
	 */
	record Replayed(RecordedResponse response) implements Outcome {
	}

	/**
	 * The request ended without an answer, or after part of one.
	 *
	 * @param errorCode the reason
	 * @param verdict whether the request may have run
	 * @param deliveredTokens number of tokens the caller already has
	 * @param retryAfterMillis when the caller should try again, 0 for never
	 */
	record Failed(ErrorCode errorCode, Verdict verdict, int deliveredTokens, long retryAfterMillis) implements Outcome {
	}

}
