package org.skylarkspring.bench.load;

import java.util.List;

import org.skylarkspring.bench.standin.DeterministicCompletion;

/**
 * What a caller got.
 *
 * @param status HTTP status, 0 if there was no response
 * @param tokens tokens in the order of their arrival
 * @param tokenArrivalNanos time of each token since the call was made
 * @param endMarkerReceived whether the stream ended with its end marker
 * @param error problem document or failure, empty for none
 */
public record StreamedResponse(int status, List<String> tokens, List<Long> tokenArrivalNanos, boolean endMarkerReceived,
		String error) {

	/**
	 * Compares the tokens with those that an engine stand-in gives to the prompt.
	 * @param prompt the prompt
	 * @param maximumTokens limit of the answer
	 * @return the verdict
	 */
	public CheckResult check(String prompt, int maximumTokens) {
		for (int offset = 0; offset < this.tokens.size(); offset++) {
			if (!this.tokens.get(offset).equals(DeterministicCompletion.tokenAt(prompt, offset))) {
				return CheckResult.WRONG_TOKENS;
			}
		}
		boolean whole = this.tokens.size() == DeterministicCompletion.tokenCount(prompt, maximumTokens);
		if (this.endMarkerReceived) {
			return whole ? CheckResult.WHOLE : CheckResult.WRONG_TOKENS;
		}
		boolean told = this.error.contains("\"verdict\"");
		return told ? CheckResult.REFUSED : CheckResult.CUT;
	}

	/**
	 * Verdict on an answer.
	 */
	public enum CheckResult {

		/** Every token once and in order, and the end marker. */
		WHOLE,

		/** A problem document told the caller the truth about the end. */
		REFUSED,

		/** The stream ended without an end marker or a problem document. */
		CUT,

		/** Tokens were missing, doubled, crossed or foreign. */
		WRONG_TOKENS

	}

}
