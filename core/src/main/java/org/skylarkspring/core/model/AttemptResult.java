package org.skylarkspring.core.model;

/**
 * Result of one attempt to run a request on a backend server.
 */
public sealed interface AttemptResult {

	/**
	 * The generation completed.
	 *
	 * @param outputTokens total number of tokens of the generation
	 */
	record Generated(int outputTokens) implements AttemptResult {
	}

	/**
	 * A plain service returned a response.
	 *
	 * @param response response to record and to deliver to the caller
	 */
	record Responded(RecordedResponse response) implements AttemptResult {
	}

	/**
	 * The attempt failed.
	 *
	 * @param verdict whether the request may have run
	 * @param resumable whether the generation can be resumed on the same server
	 */
	record Failed(Verdict verdict, boolean resumable) implements AttemptResult {
	}

}
