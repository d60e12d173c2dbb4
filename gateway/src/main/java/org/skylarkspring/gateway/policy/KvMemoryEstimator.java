package org.skylarkspring.gateway.policy;

import org.skylarkspring.gateway.model.GenerationSize;

/**
 * Estimates the memory that a generation will need.
 */
public final class KvMemoryEstimator {

	/** Expected length where the caller gives no estimate, as a share of its limit. */
	private static final double DEFAULT_OUTPUT_FRACTION = 0.5;

	private KvMemoryEstimator() {
	}

	/**
	 * Returns the memory to promise.
	 * @param prompt size of the generation
	 * @return number of tokens
	 */
	public static long estimateTokens(GenerationSize prompt) {
		int limit = prompt.maximumOutputTokens();
		int expected = prompt.expectedOutputTokens().orElse((int) (limit * DEFAULT_OUTPUT_FRACTION));
		return prompt.promptTokens() + Math.min(limit, expected);
	}

}
