package org.skylarkspring.gateway.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Usual response time of each service, as observed by this instance.
 */
public final class ServiceResponseTimes {

	private final Map<String, ResponseTimeEstimator> estimators = new HashMap<>();

	public void record(String service, long millis) {
		estimator(service).record(millis);
	}

	public double usualMillis(String service) {
		return estimator(service).usualMillis();
	}

	private ResponseTimeEstimator estimator(String service) {
		return this.estimators.computeIfAbsent(service, (name) -> new ResponseTimeEstimator());
	}

}
