package org.skylarkspring.gateway.policy;

import org.skylarkspring.gateway.model.GenerationSize;

/**
 * Estimates the KV cache capacity that a generation will need.
 */
public final class KvCacheEstimator {

	/** Expected share of the output limit if the caller gives no estimate. */
	private static final double DEFAULT_OUTPUT_FRACTION = 0.5;

	private KvCacheEstimator() {
	}

	/**
	 * Returns the KV cache capacity to reserve for a generation.
	 * @param size size of the generation
	 * @return number of tokens
	 */
	public static long estimateKvCacheTokens(GenerationSize size) {
		int limit = size.maximumOutputTokens();
		int expected = size.expectedOutputTokens().orElse((int) (limit * DEFAULT_OUTPUT_FRACTION));
		return size.promptTokens() + Math.min(limit, expected);
	}

}
