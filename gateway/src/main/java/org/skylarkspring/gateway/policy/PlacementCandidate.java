package org.skylarkspring.gateway.policy;

/**
 * What placing knows of a server.
 *
 * @param serverId name of the server
 * @param sameDataCentre whether the server stands in this instance's data centre
 * @param runningRequests requests of all instances on the server, as far as known
 * @param slots requests the server runs at once
 * @param reservedTokens memory promised to those requests, 0 for plain services
 * @param pendingPrefillTokens prompts sent to the server that it has not answered yet
 * @param kvCapacityTokens memory of the server, 0 for plain services
 * @param failureRate share of recent requests that failed, 0 to 1
 * @param ejected whether the server failed just now and isn't due to be tried again
 * @param dataCentreUnreachable whether connections to its data centre failed just now
 */
public record PlacementCandidate(String serverId, boolean sameDataCentre, int runningRequests, int slots,
		long reservedTokens, long pendingPrefillTokens, long kvCapacityTokens, double failureRate, boolean ejected,
		boolean dataCentreUnreachable) {
}
