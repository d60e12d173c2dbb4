package org.skylarkspring.entry.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Brings this instance to a higher revision by fetching only the shards it does not hold.
 */
final class ConfigurationFetcher {

	private final ControlState controlState;

	ConfigurationFetcher(ControlState controlState) {
		this.controlState = controlState;
	}

	/**
	 * Applies a manifest if its revision is higher than the one in force.
	 * @param manifest the manifest
	 * @param source returns the texts of shards by their names; missing ones are left out
	 * @return whether the revision was applied; never fails
	 */
	CompletableFuture<Boolean> fetchAndApplyIfNewer(ConfigurationManifest manifest,
			Function<List<String>, CompletableFuture<Map<String, String>>> source) {
		if (manifest.revision() <= this.controlState.revision()) {
			return CompletableFuture.completedFuture(false);
		}
		Map<String, String> held = new HashMap<>(this.controlState.shards());
		List<String> missing = manifest.shards().stream().distinct().filter((name) -> !held.containsKey(name)).toList();
		CompletableFuture<Map<String, String>> fetched = missing.isEmpty() ? CompletableFuture.completedFuture(Map.of())
				: source.apply(missing);
		return fetched.thenApply((texts) -> {
			held.putAll(texts);
			return ShardedConfiguration.assemble(manifest, held).map(this.controlState::applyIfNewer).orElse(false);
		}).exceptionally((failure) -> false);
	}

}
