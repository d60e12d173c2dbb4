package org.skylarkspring.gateway.policy;

/**
 * What placing knows of a server.
 *
 * @param serverId name of the server
 * @param sameDataCentre whether the server stands in this instance's data centre
 * @param running requests of all instances on the server, as far as known
 * @param slots requests the server runs at once
 * @param promisedTokens memory promised to those requests, 0 for plain services
 * @param unreadTokens prompts sent to the server that it has not answered yet
 * @param memoryTokens memory of the server, 0 for plain services
 * @param failureRate share of recent requests that failed, 0 to 1
 * @param suspended whether the server failed just now and isn't due to be tried again
 * @param unreached whether connections to its data centre failed just now
 */
public record Candidate(String serverId, boolean sameDataCentre, int running, int slots, long promisedTokens,
		long unreadTokens, long memoryTokens, double failureRate, boolean suspended, boolean unreached) {
}
