package org.skylarkspring.gateway.model;

/**
 * Load that a server reports in a response.
 *
 * @param runningRequests number of requests running
 * @param waitingRequests number of requests waiting
 * @param slots number of requests the server runs concurrently
 * @param pace how long work takes on the server at this moment
 */
public record LoadSample(int runningRequests, int waitingRequests, int slots, ReportedPace pace) {
}
