package org.skylarkspring.gateway.model;

import java.util.List;

/**
 * Route for the requests to a host and path prefix: the target services and the rules for
 * retries, timeouts and priority.
 *
 * @param name name of the route
 * @param host host name the route matches, in lower case
 * @param pathPrefix path prefix the route matches, begins and ends with a slash
 * @param semantics how often a request may run
 * @param timeoutMillis longest time a caller waits, in milliseconds
 * @param targetLatencyMillis target for the time to the response or its first event, in
 * milliseconds
 * @param targetEventIntervalMillis target for the longest pause between events of a
 * stream, in milliseconds, 0 if the route has no streams
 * @param priority priority of the route, 0 is the most urgent
 * @param services services that share the requests, at least one
 * @param maximumAttempts maximum number of servers a request may run on
 * @param anonymousAllowed whether requests need no API key
 */
public record RouteSpec(String name, String host, String pathPrefix, RequestSemantics semantics, long timeoutMillis,
		long targetLatencyMillis, long targetEventIntervalMillis, int priority, List<WeightedService> services,
		int maximumAttempts, boolean anonymousAllowed) {

	/**
	 * Selects the service for a request, in proportion to the weights.
	 * @param draw random number drawn for the request, from 0 to below 1
	 * @return name of the service
	 */
	public String selectService(double draw) {
		double total = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double remaining = draw * total;
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
