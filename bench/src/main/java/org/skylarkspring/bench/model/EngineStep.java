package org.skylarkspring.bench.model;

import java.util.List;

/**
 * Result of one decode step.
 *
 * @param durationMillis how long the step takes
 * @param tokens tokens produced at the end of the step
 */
public record EngineStep(double durationMillis, List<ProducedToken> tokens) {

	/**
	 * A produced token.
	 *
	 * @param jobId name of the generation
	 * @param offset offset of the token
	 * @param last whether it is the last token of the generation
	 */
	public record ProducedToken(String jobId, int offset, boolean last) {
	}

}
