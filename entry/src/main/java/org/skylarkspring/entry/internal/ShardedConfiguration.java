package org.skylarkspring.entry.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.WorkspaceConfiguration;
import org.skylarkspring.entry.http.Json;

/**
 * A configuration cut into shards, so that a change moves only the shards that it
 * touches: one with services, pools and data centres, the others with workspaces spread
 * by the hash of their names.
 */
final class ShardedConfiguration {

	private static final int WORKSPACE_SHARD_COUNT = 64;

	private static final int SHARD_NAME_CHARACTERS = 24;

	private final Configuration configuration;

	private final ConfigurationManifest manifest;

	private final Map<String, String> shardJsonByName;

	private ShardedConfiguration(Configuration configuration, ConfigurationManifest manifest,
			Map<String, String> shardJsonByName) {
		this.configuration = configuration;
		this.manifest = manifest;
		this.shardJsonByName = shardJsonByName;
	}

	/**
	 * Cuts a configuration into shards.
	 * @param configuration the configuration
	 * @return its shards
	 */
	static ShardedConfiguration split(Configuration configuration) {
		List<ConfigurationShard> parts = new ArrayList<>();
		parts.add(new ConfigurationShard(configuration.services(), configuration.pools(), configuration.dataCentres(),
				List.of()));
		IntStream.range(0, WORKSPACE_SHARD_COUNT)
			.mapToObj((index) -> createWorkspaceShard(configuration, index))
			.forEach(parts::add);
		Map<String, String> shards = new LinkedHashMap<>();
		List<String> names = new ArrayList<>();
		parts.stream().map(Json::write).forEach((json) -> {
			names.add(shardName(json));
			shards.put(shardName(json), json);
		});
		return new ShardedConfiguration(configuration,
				new ConfigurationManifest(configuration.revision(), configuration.publishId(), names), shards);
	}

	/**
	 * Puts a configuration together.
	 * @param manifest names of the shards
	 * @param shardJsonByName texts of the shards by name; others are ignored
	 * @return the configuration, empty if a shard is missing or is not what its name says
	 */
	static Optional<ShardedConfiguration> assemble(ConfigurationManifest manifest,
			Map<String, String> shardJsonByName) {
		Map<String, String> used = new LinkedHashMap<>();
		List<ConfigurationShard> parts = new ArrayList<>();
		for (String name : manifest.shards()) {
			String json = shardJsonByName.getOrDefault(name, "");
			Optional<ConfigurationShard> part = Json.read(json, ConfigurationShard.class);
			if (part.isEmpty() || !shardName(json).equals(name)) {
				return Optional.empty();
			}
			used.put(name, json);
			parts.add(part.get());
		}
		Configuration whole = new Configuration(manifest.revision(), manifest.publishId(),
				concatenate(parts, ConfigurationShard::services), concatenate(parts, ConfigurationShard::pools),
				concatenate(parts, ConfigurationShard::workspaces),
				concatenate(parts, ConfigurationShard::dataCentres));
		return Optional.of(new ShardedConfiguration(whole, manifest, used));
	}

	Configuration configuration() {
		return this.configuration;
	}

	ConfigurationManifest manifest() {
		return this.manifest;
	}

	Map<String, String> shards() {
		return this.shardJsonByName;
	}

	private static ConfigurationShard createWorkspaceShard(Configuration configuration, int index) {
		List<WorkspaceConfiguration> members = configuration.workspaces()
			.stream()
			.filter((workspace) -> Math.floorMod(workspace.name().hashCode(), WORKSPACE_SHARD_COUNT) == index)
			.toList();
		return new ConfigurationShard(List.of(), List.of(), List.of(), members);
	}

	private static <T> List<T> concatenate(List<ConfigurationShard> parts,
			Function<ConfigurationShard, List<T>> member) {
		return parts.stream().flatMap((part) -> member.apply(part).stream()).toList();
	}

	private static String shardName(String json) {
		return ServiceDirectory.sha256Hex(json).substring(0, SHARD_NAME_CHARACTERS);
	}

}
