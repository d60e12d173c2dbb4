package org.skylarkspring.core.policy;

/**
 * State of a backend server that a policy can use when a request is placed.
 *
 * @param ownRunning number of requests of this instance that run on the server
 * @param projectedRunning number of running and queued sequences in the server, including
 * this instance's placements that are not yet in a load report
 * @param concurrencyLimit estimated number of sequences that the server can run within
 * the target for the time between tokens, capped while the server warms up; at least 1
 * @param projectedBlocks number of memory blocks in use, including the reservations for
 * running sequences
 * @param requestBlocks number of memory blocks to reserve for the request
 * @param totalBlocks total number of memory blocks of the server, 0 if it does not report
 * memory
 * @param prefixLikelihood probability from 0 to 1 that the request's prefix is cached
 * @param prefixTokens number of tokens in the request's prefix
 * @param sameDataCentre whether the server is in the data centre of this instance
 * @param unreportedPlacements number of this instance's placements that are not yet in a
 * load report
 * @param entryInstances number of entry instances that are expected to use the server
 * @param lastPlacementNumber sequence number of this instance's last placement on the
 * server, 0 for none
 * @param interactive whether the request belongs to the interactive class
 */
public record PlacementView(int ownRunning, double projectedRunning, double concurrencyLimit, double projectedBlocks,
		double requestBlocks, int totalBlocks, double prefixLikelihood, int prefixTokens, boolean sameDataCentre,
		int unreportedPlacements, int entryInstances, long lastPlacementNumber, boolean interactive) {

	/**
	 * Returns the fraction of the concurrency limit that would be used including the
	 * request.
	 * @return a fraction, above 1 if the limit would be exceeded
	 */
	public double concurrencyFraction() {
		return (this.projectedRunning + 1) / this.concurrencyLimit;
	}

	/**
	 * Returns the fraction of the memory that would be used including the request.
	 * @return a fraction, 0 if the server does not report memory
	 */
	public double memoryFraction() {
		return (this.totalBlocks == 0) ? 0 : (this.projectedBlocks + this.requestBlocks) / this.totalBlocks;
	}

}
