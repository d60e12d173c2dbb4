package org.skylarkspring.gateway.model;

/**
 * One run of a backend server, from its start to its end. A server may start again under
 * the name it had; what was known of the run before does not hold for it.
 *
 * @param serverId name of the server
 * @param startedAtEpochMillis when the run started, 0 if unknown
 */
public record ServerIncarnation(String serverId, long startedAtEpochMillis) {
}
