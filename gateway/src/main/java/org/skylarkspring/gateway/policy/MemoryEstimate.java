package org.skylarkspring.gateway.policy;

import org.skylarkspring.gateway.model.PromptSpec;

/**
 * Estimates the memory that a generation will need.
 */
public final class MemoryEstimate {

	/** Expected length where the caller gives no estimate, as a share of its limit. */
	private static final double EXPECTED_SHARE_OF_LIMIT = 0.5;

	private MemoryEstimate() {
	}

	/**
	 * Returns the memory to promise.
	 * @param prompt size of the generation
	 * @return number of tokens
	 */
	public static long tokens(PromptSpec prompt) {
		int limit = prompt.maximumOutputTokens();
		int expected = prompt.expectedOutputTokens().orElse((int) (limit * EXPECTED_SHARE_OF_LIMIT));
		return prompt.promptTokens() + Math.min(limit, expected);
	}

}
