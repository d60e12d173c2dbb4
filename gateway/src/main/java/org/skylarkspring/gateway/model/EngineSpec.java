package org.skylarkspring.gateway.model;

/**
 * What the servers of a service of model engines can do.
 *
 * @param slots number of requests a server runs at once
 * @param kvCapacityTokens memory of a server, in tokens
 * @param supportsMigration whether a running generation can be copied to another server
 * @param supportsBackup whether a running generation can be copied as it grows
 */
public record EngineSpec(int slots, long kvCapacityTokens, boolean supportsMigration, boolean supportsBackup) {
}
