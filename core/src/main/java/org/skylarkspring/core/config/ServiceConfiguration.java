package org.skylarkspring.core.config;

/**
 * Configuration of a service.
 *
 * @param name unique name of the service, part of the request path
 * @param kind kind of backend
 * @param pool name of the pool of backend servers
 * @param firstTokenTargetMillis target for the time to the first token, in milliseconds
 * @param betweenTokensTargetMillis target for the time between tokens, in milliseconds
 * @param stallTimeoutMillis time in milliseconds without a token or response from the
 * backend server after which an attempt is cancelled as stalled
 * @param maximumBodyBytes maximum size of a request body in bytes
 * @param keyRetentionMillis time in milliseconds during which a request may be repeated
 * with the same idempotency key
 */
public record ServiceConfiguration(String name, ServiceKind kind, String pool, long firstTokenTargetMillis,
		long betweenTokensTargetMillis, long stallTimeoutMillis, long maximumBodyBytes, long keyRetentionMillis) {
}
