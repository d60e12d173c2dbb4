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

	private static final int WORKSPACE_SHARDS = 64;

	private static final int NAME_CHARACTERS = 24;

	private final Configuration configuration;

	private final ConfigurationManifest manifest;

	private final Map<String, String> shards;

	private ShardedConfiguration(Configuration configuration, ConfigurationManifest manifest,
			Map<String, String> shards) {
		this.configuration = configuration;
		this.manifest = manifest;
		this.shards = shards;
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
		IntStream.range(0, WORKSPACE_SHARDS).mapToObj((index) -> workspaces(configuration, index)).forEach(parts::add);
		Map<String, String> shards = new LinkedHashMap<>();
		List<String> names = new ArrayList<>();
		parts.stream().map(Json::write).forEach((json) -> {
			names.add(name(json));
			shards.put(name(json), json);
		});
		return new ShardedConfiguration(configuration,
				new ConfigurationManifest(configuration.revision(), configuration.publishId(), names), shards);
	}

	/**
	 * Puts a configuration together.
	 * @param manifest names of the shards
	 * @param shards texts of the shards by name; others are ignored
	 * @return the configuration, empty if a shard is missing or is not what its name says
	 */
	static Optional<ShardedConfiguration> assemble(ConfigurationManifest manifest, Map<String, String> shards) {
		Map<String, String> used = new LinkedHashMap<>();
		List<ConfigurationShard> parts = new ArrayList<>();
		for (String name : manifest.shards()) {
			String json = shards.getOrDefault(name, "");
			Optional<ConfigurationShard> part = Json.read(json, ConfigurationShard.class);
			if (part.isEmpty() || !name(json).equals(name)) {
				return Optional.empty();
			}
			used.put(name, json);
			parts.add(part.get());
		}
		Configuration whole = new Configuration(manifest.revision(), manifest.publishId(),
				join(parts, ConfigurationShard::services), join(parts, ConfigurationShard::pools),
				join(parts, ConfigurationShard::workspaces), join(parts, ConfigurationShard::dataCentres));
		return Optional.of(new ShardedConfiguration(whole, manifest, used));
	}

	Configuration configuration() {
		return this.configuration;
	}

	ConfigurationManifest manifest() {
		return this.manifest;
	}

	Map<String, String> shards() {
		return this.shards;
	}

	private static ConfigurationShard workspaces(Configuration configuration, int index) {
		List<WorkspaceConfiguration> members = configuration.workspaces()
			.stream()
			.filter((workspace) -> Math.floorMod(workspace.name().hashCode(), WORKSPACE_SHARDS) == index)
			.toList();
		return new ConfigurationShard(List.of(), List.of(), List.of(), members);
	}

	private static <T> List<T> join(List<ConfigurationShard> parts, Function<ConfigurationShard, List<T>> member) {
		return parts.stream().flatMap((part) -> member.apply(part).stream()).toList();
	}

	private static String name(String json) {
		return ServiceDirectory.digest(json).substring(0, NAME_CHARACTERS);
	}

}
