package org.skylarkspring.gateway.model;

/**
 * One run of a backend server, from its start to its termination. A server may restart
 * under the same id; what was known about the earlier incarnation does not apply to the
 * new one.
 *
 * @param serverId id of the server
 * @param startedAtEpochMillis start time of the run in milliseconds since the epoch, 0 if
 * unknown
 */
public record ServerIncarnation(String serverId, long startedAtEpochMillis) {
}
