package org.skylarkspring.gateway.model;

/**
 * Load of a server as it says in an answer.
 *
 * @param running number of requests running
 * @param waiting number of requests waiting
 * @param slots number of requests it runs at once
 */
public record LoadSample(int running, int waiting, int slots) {
}
