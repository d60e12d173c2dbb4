package org.skylarkspring.bench.model;

/**
 * A generation in a modelled engine.
 */
final class EngineSequence {

	final EngineJob job;

	final long arrivalNumber;

	int producedTokens;

	/** Tokens whose memory must be computed before the next token. */
	int pendingPrefillTokens;

	int ownBlocks;

	boolean sharesPrefix;

	EngineSequence(EngineJob job, long arrivalNumber) {
		this.job = job;
		this.arrivalNumber = arrivalNumber;
	}

	int contextTokens() {
		return this.job.promptTokens() + this.producedTokens;
	}

	boolean isFinished() {
		return this.producedTokens >= this.job.outputTokens();
	}

}
