package org.skylarkspring.gateway.internal;

import java.util.Map;

/**
 * Frees copies of KV caches that nobody uses. An unused copy would occupy memory and a
 * slot on the target.
 */
final class KvCacheCopies {

	private static final long RELEASE_TIMEOUT_MILLIS = 3_000;

	private final GatewayContext context;

	KvCacheCopies(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Frees the last copy of a migration, if there is one.
	 * @param migration the migration
	 */
	void releaseUnused(GenerationMigration migration) {
		if (migration.copyHandle != null) {
			release(migration.source.server, migration.copyHandle);
			migration.copyHandle = null;
		}
	}

	/**
	 * Frees a copy.
	 * @param source server whose KV cache was copied
	 * @param handle identifier of the copy
	 */
	void release(ServerEntry source, String handle) {
		this.context.metrics.recordDecision("copy freed");
		this.context.client.sendAsync(source.registration.address(),
				this.context.serverProtocol.buildReleaseRequest(handle), RELEASE_TIMEOUT_MILLIS,
				(result) -> this.context.log.logStateChange("copy freed",
						Map.of("source", source.registration.id(), "result", String.valueOf(result))));
	}

}
