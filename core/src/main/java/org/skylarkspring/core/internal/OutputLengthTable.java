package org.skylarkspring.core.internal;

import java.util.HashMap;
import java.util.Map;

import org.skylarkspring.core.policy.OutputLengthEstimator;

/**
 * Output length estimators for each service and for each workspace within a service.
 */
final class OutputLengthTable {

	private final Map<String, OutputLengthEstimator> byService = new HashMap<>();

	private final Map<String, OutputLengthEstimator> byWorkspace = new HashMap<>();

	void recordGrowth(RequestEntry request, int fromTokens, int toTokens) {
		serviceEstimator(request).recordGrowth(fromTokens, toTokens);
		workspaceEstimator(request).recordGrowth(fromTokens, toTokens);
	}

	void recordEnd(RequestEntry request, int tokens) {
		serviceEstimator(request).recordEnd(tokens);
		workspaceEstimator(request).recordEnd(tokens);
	}

	/**
	 * Returns the estimator of the request's workspace, or that of the service while the
	 * former has too few observations.
	 * @param request the request
	 * @return the estimator
	 */
	OutputLengthEstimator mostSpecificEstimator(RequestEntry request) {
		OutputLengthEstimator workspace = workspaceEstimator(request);
		return workspace.hasEnoughObservations() ? workspace : serviceEstimator(request);
	}

	OutputLengthEstimator serviceEstimator(String service) {
		return this.byService.computeIfAbsent(service, (key) -> new OutputLengthEstimator());
	}

	private OutputLengthEstimator serviceEstimator(RequestEntry request) {
		return serviceEstimator(request.service.name());
	}

	private OutputLengthEstimator workspaceEstimator(RequestEntry request) {
		String key = request.service.name() + "/" + request.workspace.name();
		return this.byWorkspace.computeIfAbsent(key, (name) -> new OutputLengthEstimator());
	}

}
