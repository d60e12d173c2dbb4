package org.skylarkspring.core.policy;

/**
 * What a policy may know of one backend server when a request is placed.
 *
 * @param ownRunning requests that this instance has running on the server
 * @param projectedRunning sequences in the server, with own placements that no report
 * covers yet
 * @param concurrencyLimit sequences the server is thought to bear within the aim between
 * tokens
 * @param projectedBlocks memory blocks in use once running sequences have grown as
 * promised
 * @param requestBlocks memory blocks promised to the request
 * @param totalBlocks memory blocks of the server, 0 if it does not report memory
 * @param prefixLikelihood probability from 0 to 1 that the request's prefix is cached
 * @param prefixTokens tokens of the request's prefix
 * @param sameDataCentre whether the server is in the data centre of this instance
 * @param unreportedPlacements own placements that no report covers yet
 * @param entryInstances entry instances that are expected to use the server
 * @param lastPlacementNumber number of the last own placement on the server, 0 for none
 * @param interactive whether the request is of the interactive class
 */
public record PlacementView(int ownRunning, double projectedRunning, double concurrencyLimit, double projectedBlocks,
		double requestBlocks, int totalBlocks, double prefixLikelihood, int prefixTokens, boolean sameDataCentre,
		int unreportedPlacements, int entryInstances, long lastPlacementNumber, boolean interactive) {

	/**
	 * Returns the fraction of the concurrency limit that would be used with the request.
	 * @return a fraction, above 1 if the limit would be exceeded
	 */
	public double concurrencyFraction() {
		return (this.projectedRunning + 1) / this.concurrencyLimit;
	}

	/**
	 * Returns the fraction of the memory that would be used with the request.
	 * @return a fraction, 0 if the server does not report memory
	 */
	public double memoryFraction() {
		return (this.totalBlocks == 0) ? 0 : (this.projectedBlocks + this.requestBlocks) / this.totalBlocks;
	}

}
