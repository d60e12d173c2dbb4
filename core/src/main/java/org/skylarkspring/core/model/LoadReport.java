package org.skylarkspring.core.model;

/**
 * A load report of a backend server. It may lag behind the actual load.
 *
 * @param serverId name of the server
 * @param incarnation number of the server process, increased by each restart
 * @param reportedAtMillis time of the measurements on the server's own clock, in
 * milliseconds
 * @param running number of sequences in the current batch
 * @param waiting number of sequences queued in the server
 * @param usedBlocks number of memory blocks in use, excluding cached prefixes
 * @param totalBlocks total number of memory blocks, 0 if the server does not report
 * memory
 * @param blockTokens number of tokens per memory block
 * @param stepMillis mean duration of recent decode steps in milliseconds
 * @param preemptions number of preemptions since the server started
 * @param modelVersion loaded model version, empty if no model is loaded
 * @param loading whether the server is loading a model and cannot serve requests
 */
public record LoadReport(String serverId, long incarnation, long reportedAtMillis, int running, int waiting,
		int usedBlocks, int totalBlocks, int blockTokens, double stepMillis, long preemptions, String modelVersion,
		boolean loading) {
}
