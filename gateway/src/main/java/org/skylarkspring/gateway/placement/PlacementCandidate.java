package org.skylarkspring.gateway.placement;

import java.util.Optional;

/**
 * State of a server that determines its placement cost.
 *
 * @param serverId id of the server
 * @param sameDataCentre whether the server is in the data centre of this instance
 * @param runningRequests number of requests of all instances running on the server, as
 * far as known to this instance
 * @param slots number of requests the server runs concurrently
 * @param reservedTokens capacity reserved in the KV cache for those requests, in tokens,
 * 0 for plain services
 * @param pendingPrefillTokens prompt tokens for which the server may not have completed
 * the prefill yet
 * @param kvCapacityTokens capacity of the KV cache of the server, in tokens, 0 for plain
 * services
 * @param failureRate moving average of the share of requests that failed, 0 to 1
 * @param ejected whether the server failed recently and is not yet due for another
 * attempt
 * @param dataCentreUnreachable whether connections to its data centre failed recently
 * @param remoteDataCentre what is known about the way there, empty in the same data
 * centre and for services whose servers report no pace
 */
public record PlacementCandidate(String serverId, boolean sameDataCentre, int runningRequests, int slots,
		long reservedTokens, long pendingPrefillTokens, long kvCapacityTokens, double failureRate, boolean ejected,
		boolean dataCentreUnreachable, Optional<RemoteDataCentreState> remoteDataCentre) {
}
