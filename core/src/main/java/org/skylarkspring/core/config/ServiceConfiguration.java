package org.skylarkspring.core.config;

/**
 * A service as configured.
 *
 * @param name unique name, part of the caller's path
 * @param kind what stands behind the service
 * @param pool name of the pool of backend servers
 * @param firstTokenTargetMillis aim for the time to the first token
 * @param betweenTokensTargetMillis aim for the time between tokens
 * @param stallTimeoutMillis longest silence of a backend server before it counts as lost
 * @param maximumBodyBytes largest request body
 * @param keyRetentionMillis how long an idempotency key may be repeated
 */
public record ServiceConfiguration(String name, ServiceKind kind, String pool, long firstTokenTargetMillis,
		long betweenTokensTargetMillis, long stallTimeoutMillis, long maximumBodyBytes, long keyRetentionMillis) {
}
