package org.skylarkspring.core.model;

import java.util.List;
import java.util.Map;

/**
 * Snapshot of the state of a decision core.
 *
 * @param revision revision of the active configuration, 0 if there is none
 * @param queuedRequests number of requests that wait for a server
 * @param openRequests number of requests without a final response
 * @param shuttingDown whether the instance was requested to shut down
 * @param counters event counts by counter name since the start of the instance
 * @param servers status of all known backend servers
 */
public record CoreStatus(long revision, int queuedRequests, int openRequests, boolean shuttingDown,
		Map<String, Long> counters, List<ServerStatus> servers) {
}
