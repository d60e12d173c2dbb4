package org.skylarkspring.bench.experiment;

import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.WorkClass;

/**
 * A caller's request in an experiment.
 *
 * @param spec what the core is told
 * @param workClass class of the workspace
 * @param outputTokens tokens the generation will have, unknown to the core
 * @param retryCount earlier tries of the same request
 * @param callId mark of a plain call in the ledger of its service
 */
public record SimulatedRequest(RequestSpec spec, WorkClass workClass, int outputTokens, int retryCount, String callId) {

	SimulatedRequest forRetry() {
		return new SimulatedRequest(this.spec, this.workClass, this.outputTokens, this.retryCount + 1, this.callId);
	}

}
