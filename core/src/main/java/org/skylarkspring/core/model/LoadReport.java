package org.skylarkspring.core.model;

/**
 * A lagging load report of one backend server.
 *
 * @param serverId name of the server
 * @param incarnation number that changes when the server restarts
 * @param reportedAtMillis time at which the server took the readings, on its own clock
 * @param running sequences in the current batch
 * @param waiting sequences queued in the server
 * @param usedBlocks memory blocks in use, cached prefixes not counted
 * @param totalBlocks memory blocks in total, 0 if the server does not report memory
 * @param blockTokens tokens held by one block
 * @param stepMillis mean duration of a recent decode step
 * @param preemptions number of preemptions since the server started
 * @param modelVersion version of the model loaded, empty if the server has none
 * @param loading whether the server is loading a model and serves nothing
 */
public record LoadReport(String serverId, long incarnation, long reportedAtMillis, int running, int waiting,
		int usedBlocks, int totalBlocks, int blockTokens, double stepMillis, long preemptions, String modelVersion,
		boolean loading) {
}
