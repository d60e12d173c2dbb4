package org.skylarkspring.core.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Length estimators by service and by workspace of a service.
 */
final class LengthTable {

	private final Map<String, LengthEstimator> byService = new HashMap<>();

	private final Map<String, LengthEstimator> byWorkspace = new HashMap<>();

	void grown(RequestEntry request, int fromTokens, int toTokens) {
		service(request).grown(fromTokens, toTokens);
		workspace(request).grown(fromTokens, toTokens);
	}

	void ended(RequestEntry request, int tokens) {
		service(request).ended(tokens);
		workspace(request).ended(tokens);
	}

	/**
	 * Returns the most specific estimator with enough observations.
	 * @param request the request
	 * @return an estimator
	 */
	LengthEstimator estimator(RequestEntry request) {
		LengthEstimator workspace = workspace(request);
		return workspace.informed() ? workspace : service(request);
	}

	LengthEstimator service(String service) {
		return this.byService.computeIfAbsent(service, (key) -> new LengthEstimator());
	}

	private LengthEstimator service(RequestEntry request) {
		return service(request.service.name());
	}

	private LengthEstimator workspace(RequestEntry request) {
		String key = request.service.name() + "/" + request.workspace.name();
		return this.byWorkspace.computeIfAbsent(key, (name) -> new LengthEstimator());
	}

}
