package org.skylarkspring.gateway.admission;

/**
 * Request about which {@link AdmissionControl} decides.
 *
 * @param id id of the request within this instance
 * @param service name of the service
 * @param route name of the route
 * @param workspace workspace of the caller, empty if anonymous
 * @param priority priority, 0 is the most urgent
 * @param tokens KV cache memory that the request needs, in tokens
 * @param arrivedMillis time of arrival in milliseconds
 * @param targetLatencyMillis target for the time to the first event, in milliseconds
 * @param deadlineMillis time at which the caller gives up, in milliseconds
 */
public record AdmissionRequest(long id, String service, String route, String workspace, int priority, long tokens,
		long arrivedMillis, long targetLatencyMillis, long deadlineMillis) {

	/**
	 * Returns what stands for the value of a token of memory, as the configuration holds
	 * no values: the caller of an urgent request gains most from an early start, and a
	 * small request leaves most memory to others.
	 * @return the value, larger is served first
	 */
	double valuePerToken() {
		return 1.0 / (Math.max(1, this.targetLatencyMillis) * (double) Math.max(1, this.tokens));
	}

	AdmissionRequest withTokens(long newTokens) {
		return new AdmissionRequest(this.id, this.service, this.route, this.workspace, this.priority, newTokens,
				this.arrivedMillis, this.targetLatencyMillis, this.deadlineMillis);
	}

	RouteKey routeKey() {
		return new RouteKey(this.service, this.route);
	}

	/**
	 * A route to a service.
	 *
	 * @param service name of the service
	 * @param route name of the route
	 */
	record RouteKey(String service, String route) {
	}

}
