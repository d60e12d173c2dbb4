package org.skylarkspring.gateway.model;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param maximumHeaderBytes size of a request head
 * @param maximumBodyBytes size of a request body
 * @param headerTimeoutMillis time to send a request head
 * @param idleTimeoutMillis time a connection may stay open without a request
 */
public record CallerLimits(int maximumHeaderBytes, long maximumBodyBytes, long headerTimeoutMillis,
		long idleTimeoutMillis) {
}
