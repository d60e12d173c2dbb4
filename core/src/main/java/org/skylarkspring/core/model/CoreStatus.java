package org.skylarkspring.core.model;

import java.util.List;
import java.util.Map;

/**
 * Snapshot of the core.
 *
 * @param revision revision of the configuration in force, 0 for none
 * @param queuedRequests requests that wait for a server
 * @param openRequests requests without a final answer
 * @param shuttingDown whether the instance was told to shut down
 * @param counters number of events by name since start
 * @param servers backend servers known
 */
public record CoreStatus(long revision, int queuedRequests, int openRequests, boolean shuttingDown,
		Map<String, Long> counters, List<ServerStatus> servers) {
}
