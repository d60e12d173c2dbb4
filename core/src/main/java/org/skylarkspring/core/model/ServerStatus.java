package org.skylarkspring.core.model;

/**
 * Status of a backend server as seen by one entry instance.
 *
 * @param serverId name of the server
 * @param pool pool of the server
 * @param dataCentre data centre of the server
 * @param eligible whether the server may receive new requests
 * @param phase {@code cold}, {@code warming} or {@code warm}
 * @param limit maximum number of requests of this instance that may run on the server
 * @param totalLimit maximum number of requests of all instances that may run on the
 * server
 * @param ownRunning number of requests of this instance that run on the server
 * @param reportedRunning number of running sequences in the last load report, -1 without
 * a report
 * @param reportedUsedBlocks number of memory blocks in use in the last load report, -1
 * without a report
 * @param modelVersion loaded model version in the last load report, empty without a
 * report
 */
public record ServerStatus(String serverId, String pool, String dataCentre, boolean eligible, String phase, int limit,
		int totalLimit, int ownRunning, int reportedRunning, int reportedUsedBlocks, String modelVersion) {
}
