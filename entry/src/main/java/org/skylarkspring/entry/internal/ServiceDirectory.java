package org.skylarkspring.entry.internal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.ServiceConfiguration;
import org.skylarkspring.core.config.WorkspaceConfiguration;

/**
 * Looks up workspaces by bearer key and services by name in the current configuration.
 * Lookups are thread-safe.
 */
final class ServiceDirectory {

	private static final long DEFAULT_MAXIMUM_BODY_BYTES = 262_144;

	private volatile Configuration configuration;

	private volatile Map<String, WorkspaceConfiguration> workspacesByKeyDigest = Map.of();

	private volatile Map<String, ServiceConfiguration> servicesByName = Map.of();

	void apply(Configuration applied) {
		this.workspacesByKeyDigest = applied.workspaces()
			.stream()
			.collect(
					Collectors.toMap(WorkspaceConfiguration::keyDigest, Function.identity(), (first, second) -> first));
		this.servicesByName = applied.services()
			.stream()
			.collect(Collectors.toMap(ServiceConfiguration::name, Function.identity(), (first, second) -> first));
		this.configuration = applied;
	}

	Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	Optional<WorkspaceConfiguration> findWorkspaceByAuthorization(String authorization) {
		String bearer = "Bearer ";
		if (authorization == null || !authorization.startsWith(bearer)) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.workspacesByKeyDigest.get(sha256Hex(authorization.substring(bearer.length()))));
	}

	Optional<ServiceConfiguration> findService(String name) {
		return Optional.ofNullable(this.servicesByName.get(name));
	}

	long maximumBodyBytes() {
		return this.servicesByName.values()
			.stream()
			.mapToLong(ServiceConfiguration::maximumBodyBytes)
			.max()
			.orElse(DEFAULT_MAXIMUM_BODY_BYTES);
	}

	static String sha256Hex(String text) {
		return sha256Hex(text.getBytes(StandardCharsets.UTF_8));
	}

	static String sha256Hex(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the Java runtime does not support SHA-256", ex);
		}
	}

}
