package org.skylarkspring.gateway.model;

import java.util.List;

/**
 * Where requests for a host and a path prefix go, and what may be done with them.
 *
 * @param name name of the route
 * @param host host the route belongs to, in lower case
 * @param pathPrefix prefix of the path, begins and ends with a slash
 * @param semantics how often a request may run
 * @param timeoutMillis longest time a caller is kept waiting
 * @param targetLatencyMillis time within which an answer, or its first event, is on time
 * @param targetEventIntervalMillis longest pause between events of a stream that is on
 * time, 0 if the route has no streams
 * @param priority rank of the route, 0 is the most urgent
 * @param services services that share the requests, at least one
 * @param maximumAttempts number of servers one request may run on
 * @param anonymousAllowed whether requests need no key
 */
public record RouteSpec(String name, String host, String pathPrefix, RequestSemantics semantics, long timeoutMillis,
		long targetLatencyMillis, long targetEventIntervalMillis, int priority, List<WeightedService> services,
		int maximumAttempts, boolean anonymousAllowed) {

	/**
	 * Returns the service for a request.
	 * @param draw number drawn for the request, from 0 to below 1
	 * @return name of the service
	 */
	public String selectService(double draw) {
		double total = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double left = draw * total;
		for (WeightedService candidate : this.services) {
			left -= candidate.weight();
			if (left < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
