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
 * A configuration split into shards, so that only the shards affected by a change are
 * transferred. One shard contains services, pools and data centres; the others contain
 * workspaces, distributed by the hash of their names.
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
	 * Splits a configuration into shards.
	 * @param configuration the configuration
	 * @return the configuration with its manifest and shards
	 */
	static ShardedConfiguration split(Configuration configuration) {
		List<ConfigurationShard> configurationShards = new ArrayList<>();
		configurationShards.add(new ConfigurationShard(configuration.services(), configuration.pools(),
				configuration.dataCentres(), List.of()));
		IntStream.range(0, WORKSPACE_SHARD_COUNT)
			.mapToObj((index) -> createWorkspaceShard(configuration, index))
			.forEach(configurationShards::add);
		Map<String, String> shards = new LinkedHashMap<>();
		List<String> names = new ArrayList<>();
		configurationShards.stream().map(Json::write).forEach((json) -> {
			names.add(shardName(json));
			shards.put(shardName(json), json);
		});
		return new ShardedConfiguration(configuration,
				new ConfigurationManifest(configuration.revision(), configuration.publishId(), names), shards);
	}

	/**
	 * Assembles a configuration from its shards.
	 * @param manifest lists the shards of the configuration
	 * @param shardJsonByName shards as JSON text by name; shards that the manifest does
	 * not list are ignored
	 * @return the configuration, empty if a shard is missing or its content does not
	 * match the hash in its name
	 */
	static Optional<ShardedConfiguration> assemble(ConfigurationManifest manifest,
			Map<String, String> shardJsonByName) {
		Map<String, String> usedShards = new LinkedHashMap<>();
		List<ConfigurationShard> parts = new ArrayList<>();
		for (String name : manifest.shards()) {
			String json = shardJsonByName.getOrDefault(name, "");
			Optional<ConfigurationShard> part = Json.read(json, ConfigurationShard.class);
			if (part.isEmpty() || !shardName(json).equals(name)) {
				return Optional.empty();
			}
			usedShards.put(name, json);
			parts.add(part.get());
		}
		Configuration configuration = new Configuration(manifest.revision(), manifest.publishId(),
				concatenate(parts, ConfigurationShard::services), concatenate(parts, ConfigurationShard::pools),
				concatenate(parts, ConfigurationShard::workspaces),
				concatenate(parts, ConfigurationShard::dataCentres));
		return Optional.of(new ShardedConfiguration(configuration, manifest, usedShards));
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
		List<WorkspaceConfiguration> workspaces = configuration.workspaces()
			.stream()
			.filter((workspace) -> Math.floorMod(workspace.name().hashCode(), WORKSPACE_SHARD_COUNT) == index)
			.toList();
		return new ConfigurationShard(List.of(), List.of(), List.of(), workspaces);
	}

	private static <T> List<T> concatenate(List<ConfigurationShard> parts,
			Function<ConfigurationShard, List<T>> property) {
		return parts.stream().flatMap((part) -> property.apply(part).stream()).toList();
	}

	private static String shardName(String json) {
		return ServiceDirectory.sha256Hex(json).substring(0, SHARD_NAME_CHARACTERS);
	}

}
