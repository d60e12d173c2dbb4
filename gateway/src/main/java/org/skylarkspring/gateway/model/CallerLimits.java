package org.skylarkspring.gateway.model;

/**
 * Limits on the size of requests from callers and on the time to send them.
 *
 * @param maximumHeaderBytes maximum size of the request headers, in bytes
 * @param maximumBodyBytes maximum size of the request body, in bytes
 * @param headerTimeoutMillis longest time to send the request headers, in milliseconds
 * @param idleTimeoutMillis longest time a connection may stay open without a request, in
 * milliseconds
 */
public record CallerLimits(int maximumHeaderBytes, long maximumBodyBytes, long headerTimeoutMillis,
		long idleTimeoutMillis) {
}
