package org.skylarkspring.core.model;

/**
 * What an entry instance knows of one backend server.
 *
 * @param serverId name of the server
 * @param pool its pool
 * @param dataCentre its data centre
 * @param eligible whether it may receive new work
 * @param phase {@code cold}, {@code warming} or {@code warm}
 * @param limit requests this instance may have running there
 * @param totalLimit requests all instances together may have running there
 * @param ownRunning requests this instance has running there
 * @param reportedRunning sequences running by the last report, -1 without one
 * @param reportedUsedBlocks memory blocks in use by the last report, -1 without one
 * @param modelVersion version of the model loaded by the last report, empty without one
 */
public record ServerStatus(String serverId, String pool, String dataCentre, boolean eligible, String phase, int limit,
		int totalLimit, int ownRunning, int reportedRunning, int reportedUsedBlocks, String modelVersion) {
}
