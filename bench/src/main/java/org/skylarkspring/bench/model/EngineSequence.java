package org.skylarkspring.bench.model;

/**
 * A generation in a modelled engine.
 */
final class EngineSequence {

	final EngineJob job;

	final long arrival;

	int producedTokens;

	/** Tokens whose memory must be computed before the next token. */
	int pendingPrefillTokens;

	int ownBlocks;

	boolean sharesPrefix;

	EngineSequence(EngineJob job, long arrival) {
		this.job = job;
		this.arrival = arrival;
	}

	int contextTokens() {
		return this.job.promptTokens() + this.producedTokens;
	}

	boolean finished() {
		return this.producedTokens >= this.job.outputTokens();
	}

}
