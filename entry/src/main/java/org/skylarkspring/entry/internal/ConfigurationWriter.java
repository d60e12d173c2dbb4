package org.skylarkspring.entry.internal;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.skylarkspring.entry.http.Json;

/**
 * Writes a configuration to the platform's store: first the shards that may be missing
 * there, then the manifest. The configuration is published at the moment when the
 * conditional update of the manifest takes effect.
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
	 * Writes the shards that may be missing in the store. Writing a shard that already
	 * exists has no effect.
	 * @param sharded the configuration to write
	 * @param storedShards names of the shards that are known to be in the store
	 * @return whether all shards are in the store; never completes exceptionally
	 */
	CompletableFuture<Boolean> writeShards(ShardedConfiguration sharded, Set<String> storedShards) {
		List<String> missing = sharded.shards()
			.keySet()
			.stream()
			.filter((name) -> !storedShards.contains(name))
			.toList();
		CompletableFuture<Boolean> result = CompletableFuture.completedFuture(true);
		for (String name : missing) {
			result = result.thenCompose((succeeded) -> succeeded ? writeShard(name, sharded.shards().get(name), 1)
					: CompletableFuture.completedFuture(false));
		}
		return result;
	}

	/**
	 * Writes the manifest if the stored one still has the expected version.
	 * @param sharded the configuration, whose shards are already in the store
	 * @param expectedVersion object version of the manifest to replace, 0 to create it
	 * @return the result of the write; never completes exceptionally
	 */
	CompletableFuture<ObjectStoreResult> writeManifest(ShardedConfiguration sharded, long expectedVersion) {
		return this.objectStore.write(PlatformSync.CONFIGURATION_KEY, expectedVersion, Json.write(sharded.manifest()));
	}

	private CompletableFuture<Boolean> writeShard(String name, String json, int attempt) {
		return this.objectStore.write(shardKey(name), 0, json).thenCompose((result) -> {
			boolean shardStored = result instanceof ObjectStoreResult.Written
					|| result instanceof ObjectStoreResult.Found;
			if (shardStored || attempt >= MAXIMUM_WRITE_ATTEMPTS) {
				return CompletableFuture.completedFuture(shardStored);
			}
			return writeShard(name, json, attempt + 1);
		});
	}

}
