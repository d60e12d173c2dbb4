package org.skylarkspring.bench.model;

/**
 * Progress and memory of one generation in an {@link EngineModel}.
 */
final class EngineSequence {

	final EngineJob job;

	final long arrivalNumber;

	int producedTokens;

	/** Context tokens still to be prefilled before the next token can be decoded. */
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
