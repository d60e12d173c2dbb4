package org.skylarkspring.entry.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Updates this instance to a higher configuration revision. Fetches only the shards that
 * the instance does not have yet.
 */
final class ConfigurationFetcher {

	private final ControlState controlState;

	ConfigurationFetcher(ControlState controlState) {
		this.controlState = controlState;
	}

	/**
	 * Applies the configuration of a manifest if its revision is higher than the current
	 * one. Fetches missing shards first.
	 * @param manifest manifest of the configuration to apply
	 * @param source returns the requested shards as JSON text by name; shards that are
	 * not available are omitted
	 * @return whether the revision was applied; never completes exceptionally
	 */
	CompletableFuture<Boolean> fetchAndApplyIfNewer(ConfigurationManifest manifest,
			Function<List<String>, CompletableFuture<Map<String, String>>> source) {
		if (manifest.revision() <= this.controlState.revision()) {
			return CompletableFuture.completedFuture(false);
		}
		Map<String, String> shardTexts = new HashMap<>(this.controlState.shards());
		List<String> missing = manifest.shards()
			.stream()
			.distinct()
			.filter((name) -> !shardTexts.containsKey(name))
			.toList();
		CompletableFuture<Map<String, String>> fetchedShards = missing.isEmpty()
				? CompletableFuture.completedFuture(Map.of()) : source.apply(missing);
		return fetchedShards.thenApply((fetchedTexts) -> {
			shardTexts.putAll(fetchedTexts);
			return ShardedConfiguration.assemble(manifest, shardTexts)
				.map(this.controlState::applyIfNewer)
				.orElse(false);
		}).exceptionally((failure) -> false);
	}

}
