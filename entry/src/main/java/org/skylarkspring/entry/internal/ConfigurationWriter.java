package org.skylarkspring.entry.internal;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.skylarkspring.entry.http.Json;

/**
 * Writes a configuration to the platform: first the shards that the store may not hold,
 * then the manifest by one conditional update, which is the moment of publication.
 */
final class ConfigurationWriter {

	private static final String SHARD_KEY_PREFIX = "configuration-shards/";

	private static final int MAXIMUM_WRITE_ATTEMPTS = 3;

	private final ObjectStore objectStore;

	ConfigurationWriter(ObjectStore objectStore) {
		this.objectStore = objectStore;
	}

	static String shardKey(String name) {
		return SHARD_KEY_PREFIX + name;
	}

	/**
	 * Writes shards. Writing one that exists already changes nothing.
	 * @param sharded the configuration
	 * @param stored names of shards known to be in the store
	 * @return whether all shards are in the store; never fails
	 */
	CompletableFuture<Boolean> writeShards(ShardedConfiguration sharded, Set<String> stored) {
		List<String> missing = sharded.shards().keySet().stream().filter((name) -> !stored.contains(name)).toList();
		CompletableFuture<Boolean> written = CompletableFuture.completedFuture(true);
		for (String name : missing) {
			written = written.thenCompose((sound) -> sound ? writeShard(name, sharded.shards().get(name), 1)
					: CompletableFuture.completedFuture(false));
		}
		return written;
	}

	/**
	 * Writes the manifest.
	 * @param sharded the configuration, its shards stored
	 * @param expectedVersion version of the manifest to replace
	 * @return the result; never fails
	 */
	CompletableFuture<ObjectStoreResult> writeManifest(ShardedConfiguration sharded, long expectedVersion) {
		return this.objectStore.write(PlatformSync.CONFIGURATION_KEY, expectedVersion, Json.write(sharded.manifest()));
	}

	private CompletableFuture<Boolean> writeShard(String name, String json, int tries) {
		return this.objectStore.write(shardKey(name), 0, json).thenCompose((result) -> {
			boolean stored = result instanceof ObjectStoreResult.Written || result instanceof ObjectStoreResult.Found;
			if (stored || tries >= MAXIMUM_WRITE_ATTEMPTS) {
				return CompletableFuture.completedFuture(stored);
			}
			return writeShard(name, json, tries + 1);
		});
	}

}
