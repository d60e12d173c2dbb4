package org.skylarkspring.bench.model;

/**
 * Speed and memory of a modelled engine.
 *
 * @param baseStepMillis duration of a decode step without sequences, in milliseconds
 * @param perSequenceMillis additional step duration for each sequence in the batch, in
 * milliseconds
 * @param perPrefillTokenMillis additional step duration for each prompt token computed,
 * in milliseconds
 * @param maximumBatchSize maximum number of sequences in one batch
 * @param maximumPrefillTokens maximum number of prompt tokens computed in one step
 * @param totalBlocks total number of memory blocks
 * @param blockTokens number of tokens that fit in one block
 * @param coldBatchSize batch size that a cold engine can run at full speed
 * @param warmupMillis decoding time within the sustainable batch size after which a cold
 * engine is warm, in milliseconds
 * @param cacheEventLossRatio fraction of the cache events that are lost, from 0 to 1
 */
public record EngineProfile(double baseStepMillis, double perSequenceMillis, double perPrefillTokenMillis,
		int maximumBatchSize, int maximumPrefillTokens, int totalBlocks, int blockTokens, int coldBatchSize,
		long warmupMillis, double cacheEventLossRatio) {

	/**
	 * Returns the default profile.
	 * @return the profile
	 */
	public static EngineProfile standard() {
		return new EngineProfile(18, 0.9, 0.02, 64, 2_048, 2_600, 16, 8, 30_000, 0.05);
	}

}
