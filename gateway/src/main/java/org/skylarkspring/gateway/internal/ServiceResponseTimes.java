package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.Map;

import org.skylarkspring.gateway.policy.ResponseTimeEstimator;

/**
 * Usual response time of each service, as observed by this instance.
 */
final class ServiceResponseTimes {

	private final Map<String, ResponseTimeEstimator> estimators = new HashMap<>();

	void record(String service, long millis) {
		estimator(service).record(millis);
	}

	double usualMillis(String service) {
		return estimator(service).usualMillis();
	}

	private ResponseTimeEstimator estimator(String service) {
		return this.estimators.computeIfAbsent(service, (name) -> new ResponseTimeEstimator());
	}

}
