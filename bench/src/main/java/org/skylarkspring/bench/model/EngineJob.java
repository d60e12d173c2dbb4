package org.skylarkspring.bench.model;

/**
 * A generation asked of a modelled engine.
 *
 * @param jobId name of the generation
 * @param promptTokens tokens of the prompt
 * @param prefixHash hash of the reusable prefix, 0 for none
 * @param prefixTokens tokens of the reusable prefix
 * @param outputTokens tokens the generation will have
 * @param priority priority, lower values run first
 */
public record EngineJob(String jobId, int promptTokens, long prefixHash, int prefixTokens, int outputTokens,
		int priority) {
}
