package org.skylarkspring.gateway.pace;

import java.util.Map;
import java.util.OptionalDouble;

/**
 * The paces of the servers of a service, and what its streams have shown.
 *
 * @param averageDurationFactor average of the factors of all servers
 * @param servers pace of each server, by id
 * @param intervalMillis mean interval between the events of a stream on a server of the
 * usual pace, in milliseconds, empty if no stream has ended recently
 * @param longestPauseMillis mean of the longest interval of a stream on such a server, in
 * milliseconds, empty if no stream has ended recently
 */
public record ServicePaces(double averageDurationFactor, Map<String, ServerPace> servers, OptionalDouble intervalMillis,
		OptionalDouble longestPauseMillis) {
}
