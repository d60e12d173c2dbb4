package org.skylarkspring.gateway.model;

import java.util.OptionalInt;

/**
 * Load that a server reports in a response.
 *
 * @param runningRequests number of requests running
 * @param waitingRequests number of requests waiting
 * @param slots number of requests the server runs concurrently
 * @param durationPercent how long work takes on the server at this moment, in percent of
 * the usual duration, empty if the server does not report it
 */
public record LoadSample(int runningRequests, int waitingRequests, int slots, OptionalInt durationPercent) {
}
