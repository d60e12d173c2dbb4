package org.skylarkspring.core.model;

/**
 * How one dispatch of a request to a backend server ended.
 */
public sealed interface AttemptResult {

	/**
	 * A generation ended with its last token.
	 *
	 * @param outputTokens number of tokens of the whole generation
	 */
	record Generated(int outputTokens) implements AttemptResult {
	}

	/**
	 * A plain service answered.
	 *
	 * @param response the answer to record and to deliver
	 */
	record Responded(RecordedResponse response) implements AttemptResult {
	}

	/**
	 * The attempt failed.
	 *
	 * @param verdict whether the request may have run
	 * @param resumable whether the same generation may be resumed on the same server
	 */
	record Failed(Verdict verdict, boolean resumable) implements AttemptResult {
	}

}
