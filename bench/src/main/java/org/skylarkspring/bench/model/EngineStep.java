package org.skylarkspring.bench.model;

import java.util.List;

/**
 * Result of one decode step.
 *
 * @param durationMillis duration of the step in milliseconds
 * @param tokens tokens produced at the end of the step
 */
public record EngineStep(double durationMillis, List<ProducedToken> tokens) {

	/**
	 * A produced token.
	 *
	 * @param jobId identifier of the generation
	 * @param offset zero-based position of the token in the generation
	 * @param last whether it is the last token of the generation
	 */
	public record ProducedToken(String jobId, int offset, boolean last) {
	}

}
