package org.skylarkspring.bench.load;

import java.util.List;

import org.skylarkspring.bench.standin.DeterministicCompletion;

/**
 * Response to a completion request as the caller received it.
 *
 * @param status HTTP status, 0 if no response arrived
 * @param tokens tokens in the order of their arrival
 * @param tokenArrivalNanos arrival time of each token in nanoseconds since the request
 * was sent
 * @param endMarkerReceived whether the stream ended with its end marker
 * @param error problem document or failure message, empty if there was none
 */
public record StreamedResponse(int status, List<String> tokens, List<Long> tokenArrivalNanos, boolean endMarkerReceived,
		String error) {

	/**
	 * Compares the tokens with those that an engine stand-in generates for the prompt.
	 * @param prompt the prompt
	 * @param maximumTokens maximum number of tokens requested
	 * @return the result of the check
	 */
	public CheckResult check(String prompt, int maximumTokens) {
		for (int offset = 0; offset < this.tokens.size(); offset++) {
			if (!this.tokens.get(offset).equals(DeterministicCompletion.tokenAt(prompt, offset))) {
				return CheckResult.WRONG_TOKENS;
			}
		}
		boolean complete = this.tokens.size() == DeterministicCompletion.tokenCount(prompt, maximumTokens);
		if (this.endMarkerReceived) {
			return complete ? CheckResult.WHOLE : CheckResult.WRONG_TOKENS;
		}
		boolean hasVerdict = this.error.contains("\"verdict\"");
		return hasVerdict ? CheckResult.REFUSED : CheckResult.CUT;
	}

	/**
	 * Result of checking a response.
	 */
	public enum CheckResult {

		/** All tokens arrived once and in order, followed by the end marker. */
		WHOLE,

		/**
		 * The request was refused or interrupted, and a problem document with a verdict
		 * arrived.
		 */
		REFUSED,

		/**
		 * The response ended with neither the end marker nor a problem document with a
		 * verdict.
		 */
		CUT,

		/**
		 * Tokens were missing, duplicated, out of order or belonged to another request.
		 */
		WRONG_TOKENS

	}

}
