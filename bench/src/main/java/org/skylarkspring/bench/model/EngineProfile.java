package org.skylarkspring.bench.model;

/**
 * Speed and memory of a modelled engine.
 *
 * @param baseStepMillis duration of a decode step without sequences
 * @param perSequenceMillis additional duration for each sequence in the batch
 * @param perPrefillTokenMillis additional duration for each prompt token computed
 * @param maximumBatchSize sequences in one batch
 * @param maximumPrefillTokens prompt tokens computed in one step
 * @param totalBlocks memory blocks
 * @param blockTokens tokens of one block
 * @param coldBatchSize sequences a cold engine bears at full speed
 * @param warmupMillis time a cold engine needs under bearable load
 * @param cacheEventLossRatio part of the cache events that are lost
 */
public record EngineProfile(double baseStepMillis, double perSequenceMillis, double perPrefillTokenMillis,
		int maximumBatchSize, int maximumPrefillTokens, int totalBlocks, int blockTokens, int coldBatchSize,
		long warmupMillis, double cacheEventLossRatio) {

	/**
	 * Returns the profile used unless another is asked for.
	 * @return the profile
	 */
	public static EngineProfile standard() {
		return new EngineProfile(18, 0.9, 0.02, 64, 2_048, 2_600, 16, 8, 30_000, 0.05);
	}

}
