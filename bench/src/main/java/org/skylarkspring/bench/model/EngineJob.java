package org.skylarkspring.bench.model;

/**
 * A generation submitted to an {@link EngineModel}.
 *
 * @param jobId unique identifier of the generation
 * @param promptTokens length of the prompt in tokens
 * @param prefixHash hash of the reusable prefix, 0 for none
 * @param prefixTokens length of the reusable prefix in tokens
 * @param outputTokens number of tokens to generate
 * @param priority priority, lower values run first
 */
public record EngineJob(String jobId, int promptTokens, long prefixHash, int prefixTokens, int outputTokens,
		int priority) {
}
