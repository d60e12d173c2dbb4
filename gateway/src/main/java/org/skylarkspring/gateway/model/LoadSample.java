package org.skylarkspring.gateway.model;

/**
 * Load of a server as it says in an answer.
 *
 * @param runningRequests number of requests running
 * @param waitingRequests number of requests waiting
 * @param slots number of requests it runs at once
 */
public record LoadSample(int runningRequests, int waitingRequests, int slots) {
}
