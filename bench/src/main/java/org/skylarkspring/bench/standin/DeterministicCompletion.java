package org.skylarkspring.bench.standin;

import java.util.SplittableRandom;

import org.skylarkspring.bench.model.OutputLengthDistribution;

/**
 * The answer that an engine stand-in gives to a prompt. It follows from the prompt alone,
 * so that a caller can check that every token is its own, complete and in order.
 */
public final class DeterministicCompletion {

	private static final OutputLengthDistribution OUTPUT_LENGTHS = new OutputLengthDistribution(40, 1, 2_000);

	private DeterministicCompletion() {
	}

	/**
	 * Returns the number of tokens of the answer.
	 * @param prompt the prompt
	 * @param maximumTokens limit set by the caller
	 * @return number of tokens
	 */
	public static int tokenCount(String prompt, int maximumTokens) {
		return Math.min(maximumTokens, OUTPUT_LENGTHS.sample(new SplittableRandom(prompt.hashCode())));
	}

	/**
	 * Returns one token of the answer.
	 * @param prompt the prompt
	 * @param offset offset of the token
	 * @return the token
	 */
	public static String tokenAt(String prompt, int offset) {
		return Integer.toHexString(prompt.hashCode()) + "." + offset + " ";
	}

}
