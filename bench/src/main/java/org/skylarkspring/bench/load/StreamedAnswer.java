package org.skylarkspring.bench.load;

import java.util.List;

import org.skylarkspring.bench.standin.StandInText;

/**
 * What a caller got.
 *
 * @param status HTTP status, 0 if there was no response
 * @param tokens tokens in the order of their arrival
 * @param tokenNanos time of each token since the call was made
 * @param done whether the stream ended with its end marker
 * @param error problem document or failure, empty for none
 */
public record StreamedAnswer(int status, List<String> tokens, List<Long> tokenNanos, boolean done, String error) {

	/**
	 * Compares the tokens with those that an engine stand-in gives to the prompt.
	 * @param prompt the prompt
	 * @param maximumTokens limit of the answer
	 * @return the verdict
	 */
	public Check check(String prompt, int maximumTokens) {
		for (int offset = 0; offset < this.tokens.size(); offset++) {
			if (!this.tokens.get(offset).equals(StandInText.token(prompt, offset))) {
				return Check.WRONG_TOKENS;
			}
		}
		boolean whole = this.tokens.size() == StandInText.tokens(prompt, maximumTokens);
		if (this.done) {
			return whole ? Check.WHOLE : Check.WRONG_TOKENS;
		}
		boolean told = this.error.contains("\"verdict\"");
		return told ? Check.REFUSED : Check.CUT;
	}

	/**
	 * Verdict on an answer.
	 */
	public enum Check {

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
