package org.skylarkspring.gateway.model;

/**
 * Capacity and capabilities of the servers of a model engine service.
 *
 * @param slots number of requests a server runs concurrently
 * @param kvCapacityTokens capacity of the KV cache of a server, in tokens
 * @param supportsMigration whether the KV cache of a running generation can be copied to
 * another server
 * @param supportsBackup whether the KV cache of a running generation can be copied
 * continuously as it grows
 */
public record EngineSpec(int slots, long kvCapacityTokens, boolean supportsMigration, boolean supportsBackup) {
}
