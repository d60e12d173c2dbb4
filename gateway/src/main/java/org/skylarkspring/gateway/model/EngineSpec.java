package org.skylarkspring.gateway.model;

/**
 * What the servers of a service of model engines can do.
 *
 * @param slots number of requests a server runs at once
 * @param memoryTokens memory of a server, in tokens
 * @param moves whether a running generation can be copied to another server
 * @param backups whether a running generation can be copied as it grows
 */
public record EngineSpec(int slots, long memoryTokens, boolean moves, boolean backups) {
}
