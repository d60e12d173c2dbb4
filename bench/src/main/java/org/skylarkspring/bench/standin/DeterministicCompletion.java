package org.skylarkspring.bench.standin;

import java.util.SplittableRandom;

import org.skylarkspring.bench.model.OutputLengthDistribution;

/**
 * Completion that an engine stand-in generates for a prompt. Its tokens depend only on
 * the prompt, and their number on the prompt and the limit, so that a client can check
 * that a response is complete, in order and belongs to its prompt.
 */
public final class DeterministicCompletion {

	private static final OutputLengthDistribution OUTPUT_LENGTHS = new OutputLengthDistribution(40, 1, 2_000);

	private DeterministicCompletion() {
	}

	/**
	 * Returns the number of tokens of the completion.
	 * @param prompt the prompt
	 * @param maximumTokens maximum number of tokens requested by the caller
	 * @return number of tokens
	 */
	public static int tokenCount(String prompt, int maximumTokens) {
		return Math.min(maximumTokens, OUTPUT_LENGTHS.sample(new SplittableRandom(prompt.hashCode())));
	}

	/**
	 * Returns one token of the completion.
	 * @param prompt the prompt
	 * @param offset zero-based position of the token
	 * @return text of the token
	 */
	public static String tokenAt(String prompt, int offset) {
		return Integer.toHexString(prompt.hashCode()) + "." + offset + " ";
	}

}
