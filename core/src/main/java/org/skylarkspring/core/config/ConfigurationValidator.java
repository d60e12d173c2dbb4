package org.skylarkspring.core.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.gson.Gson;

import org.skylarkspring.core.model.WorkClass;

/**
 * Merges configuration files into one configuration and validates it: <pre class="code">
 * ConfigurationValidationResult result = new ConfigurationValidator().validate(files);
 * </pre> All errors are reported in one pass, each with its file, line, path and remedy.
 * An instance can be used only once.
 */
public final class ConfigurationValidator {

	/**
	 * Maximum size of the configuration in bytes of JSON. The platform's store is limited
	 * to one megabyte.
	 */
	public static final int MAXIMUM_CONFIGURATION_BYTES = 900_000;

	private static final long MAXIMUM_DURATION_MILLIS = 7L * 24 * 3600 * 1000;

	private static final Set<String> ROOT_FIELDS = Set.of("services", "pools", "workspaces", "dataCentres");

	private static final Set<String> SERVICE_FIELDS = Set.of("name", "kind", "pool", "firstTokenTargetMillis",
			"betweenTokensTargetMillis", "stallTimeoutMillis", "maximumBodyBytes", "keyRetentionMillis");

	private static final Set<String> POOL_FIELDS = Set.of("name", "dataCentres", "warmupMillis", "initialConcurrency",
			"fullConcurrency", "maximumInstances", "modelVersion", "minimumServers", "concurrentLoads");

	private static final Set<String> WORKSPACE_FIELDS = Set.of("name", "keyDigest", "weight", "workClass", "services");

	private static final Set<String> DATA_CENTRE_FIELDS = Set.of("name", "region");

	private final ConfigurationErrorCollector errors = new ConfigurationErrorCollector();

	private final Map<String, String> definingFileByEntry = new HashMap<>();

	private final List<Reference> references = new ArrayList<>();

	private final List<ServiceConfiguration> services = new ArrayList<>();

	private final List<PoolConfiguration> pools = new ArrayList<>();

	private final List<WorkspaceConfiguration> workspaces = new ArrayList<>();

	private final List<DataCentreConfiguration> dataCentres = new ArrayList<>();

	/**
	 * Validates a set of configuration files.
	 * @param files the files, not {@code null}
	 * @return the configuration with revision 0, or all errors
	 */
	public ConfigurationValidationResult validate(List<ConfigurationFile> files) {
		files.forEach(this::parseFile);
		validateReferences();
		validateUniqueKeyDigests();
		Configuration configuration = new Configuration(0, "", List.copyOf(this.services), List.copyOf(this.pools),
				List.copyOf(this.workspaces), List.copyOf(this.dataCentres));
		validateSize(configuration);
		List<ConfigurationError> foundErrors = this.errors.errors();
		if (foundErrors.isEmpty()) {
			return new ConfigurationValidationResult.Accepted(configuration);
		}
		return new ConfigurationValidationResult.Rejected(foundErrors);
	}

	private void parseFile(ConfigurationFile file) {
		try {
			LocatedJsonValue root = LocatedJsonValue.parse(file.text());
			if (!root.isObject()) {
				this.errors.add(file.name(), root, "the file must contain one JSON object", "start the file with '{'");
				return;
			}
			new JsonObjectReader(file.name(), root, this.errors).rejectUnknownFields(ROOT_FIELDS);
			readEntries(file, root, "dataCentres", DATA_CENTRE_FIELDS, this::readDataCentre);
			readEntries(file, root, "pools", POOL_FIELDS, this::readPool);
			readEntries(file, root, "services", SERVICE_FIELDS, this::readService);
			readEntries(file, root, "workspaces", WORKSPACE_FIELDS, this::readWorkspace);
		}
		catch (IOException ex) {
			this.errors.add(file.name(), LocatedJsonValue.parseLineNumber(ex.getMessage()), "$",
					"malformed JSON: " + ex.getMessage(), "correct the syntax at that line");
		}
	}

	private void readEntries(ConfigurationFile file, LocatedJsonValue root, String section, Set<String> fields,
			EntryReader reader) {
		LocatedJsonValue entries = root.members().get(section);
		if (entries == null) {
			return;
		}
		if (!entries.isArray()) {
			this.errors.add(file.name(), entries, "'" + section + "' must be an array", "write [ ... ]");
			return;
		}
		entries.items().forEach((entry) -> readEntry(file, entry, section, fields, reader));
	}

	private void readEntry(ConfigurationFile file, LocatedJsonValue entry, String section, Set<String> fields,
			EntryReader reader) {
		if (!entry.isObject()) {
			this.errors.add(file.name(), entry, "an entry of '" + section + "' must be an object", "write { ... }");
			return;
		}
		JsonObjectReader values = new JsonObjectReader(file.name(), entry, this.errors);
		values.rejectUnknownFields(fields);
		String name = values.readName("name");
		String definingFile = this.definingFileByEntry.putIfAbsent(section + "/" + name, file.name());
		if (definingFile != null) {
			this.errors.add(file.name(), entry, "'" + name + "' is defined twice in '" + section + "'",
					"remove it here or in " + definingFile);
		}
		reader.read(file.name(), entry, name, values);
	}

	private void readDataCentre(String file, LocatedJsonValue location, String name, JsonObjectReader values) {
		this.dataCentres.add(new DataCentreConfiguration(name, values.readName("region")));
	}

	private void readPool(String file, LocatedJsonValue location, String name, JsonObjectReader values) {
		List<String> dataCentreNames = values.readNames("dataCentres");
		dataCentreNames
			.forEach((dataCentre) -> this.references.add(new Reference(file, location, "dataCentres", dataCentre)));
		int initial = (int) values.readNumber("initialConcurrency", 2, 1, 100_000);
		int full = (int) values.readNumber("fullConcurrency", 32, 1, 100_000);
		if (initial > full) {
			this.errors.add(file, location, "'initialConcurrency' " + initial + " exceeds 'fullConcurrency' " + full,
					"lower 'initialConcurrency' or raise 'fullConcurrency'");
		}
		this.pools.add(new PoolConfiguration(name, dataCentreNames,
				values.readNumber("warmupMillis", 60_000, 0, MAXIMUM_DURATION_MILLIS), initial, full,
				(int) values.readNumber("maximumInstances", 4, 1, 100_000), modelVersion(values),
				(int) values.readNumber("minimumServers", 1, 0, 100_000),
				(int) values.readNumber("concurrentLoads", 1, 1, 100_000)));
	}

	private static String modelVersion(JsonObjectReader values) {
		return values.readMatching("modelVersion", "[A-Za-z0-9._-]{0,64}",
				"use up to 64 letters, digits, dots, underscores and hyphens");
	}

	private void readService(String file, LocatedJsonValue location, String name, JsonObjectReader values) {
		String pool = values.readName("pool");
		this.references.add(new Reference(file, location, "pools", pool));
		this.services.add(new ServiceConfiguration(name,
				values.readEnumConstant("kind", ServiceKind.class, ServiceKind.GENERATION), pool,
				values.readNumber("firstTokenTargetMillis", 1_800, 1, MAXIMUM_DURATION_MILLIS),
				values.readNumber("betweenTokensTargetMillis", 66, 1, MAXIMUM_DURATION_MILLIS),
				values.readNumber("stallTimeoutMillis", 10_000, 100, MAXIMUM_DURATION_MILLIS),
				values.readNumber("maximumBodyBytes", 262_144, 1, 16L * 1024 * 1024),
				values.readNumber("keyRetentionMillis", 24L * 3600 * 1000, 1_000, MAXIMUM_DURATION_MILLIS)));
	}

	private void readWorkspace(String file, LocatedJsonValue location, String name, JsonObjectReader values) {
		List<String> serviceNames = values.readNames("services");
		serviceNames.forEach((service) -> this.references.add(new Reference(file, location, "services", service)));
		String keyDigest = values.readMatching("keyDigest", "[0-9a-f]{64}",
				"use the SHA-256 of the key in 64 lower-case hexadecimal digits; never write the key itself");
		this.workspaces.add(new WorkspaceConfiguration(name, keyDigest, (int) values.readNumber("weight", 1, 1, 1_000),
				values.readEnumConstant("workClass", WorkClass.class, WorkClass.DEADLINE), serviceNames));
	}

	private void validateReferences() {
		this.references.stream()
			.filter((reference) -> !this.definingFileByEntry.containsKey(reference.section() + "/" + reference.name()))
			.forEach((reference) -> this.errors.add(reference.file(), reference.location(),
					"'" + reference.name() + "' is not defined in '" + reference.section() + "'",
					"define it or correct the name"));
	}

	private void validateUniqueKeyDigests() {
		Set<String> seen = new HashSet<>();
		this.workspaces.stream()
			.filter((workspace) -> !seen.add(workspace.keyDigest()))
			.forEach((workspace) -> this.errors.add(this.definingFileByEntry.get("workspaces/" + workspace.name()), 0,
					"$.workspaces", "workspace '" + workspace.name() + "' has the same key digest as another workspace",
					"create a separate key for each workspace"));
	}

	private void validateSize(Configuration configuration) {
		int sizeBytes = new Gson().toJson(configuration).getBytes(StandardCharsets.UTF_8).length;
		if (sizeBytes > MAXIMUM_CONFIGURATION_BYTES) {
			this.errors.add("(all files)", 0, "$",
					"the configuration has " + sizeBytes + " bytes, above the limit of " + MAXIMUM_CONFIGURATION_BYTES,
					"remove entries that are no longer used");
		}
	}

	@FunctionalInterface
	private interface EntryReader {

		void read(String file, LocatedJsonValue location, String name, JsonObjectReader values);

	}

	private record Reference(String file, LocatedJsonValue location, String section, String name) {
	}

}
