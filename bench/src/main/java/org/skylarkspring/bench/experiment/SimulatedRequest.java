package org.skylarkspring.bench.experiment;

import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.WorkClass;

/**
 * A caller's request in an experiment.
 *
 * @param spec request as the decision core receives it
 * @param workClass work class of the workspace
 * @param outputTokens number of tokens that the generation will produce, unknown to the
 * decision core
 * @param retryCount number of earlier attempts by the caller
 * @param callId id that the plain service records when it runs the call, empty for a
 * generation
 */
public record SimulatedRequest(RequestSpec spec, WorkClass workClass, int outputTokens, int retryCount, String callId) {

	SimulatedRequest forRetry() {
		return new SimulatedRequest(this.spec, this.workClass, this.outputTokens, this.retryCount + 1, this.callId);
	}

}
