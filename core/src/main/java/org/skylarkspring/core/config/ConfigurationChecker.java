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
 * Collects configuration files into one configuration and checks all of it:
 * <pre class="code">
 * ConfigurationResult result = new ConfigurationChecker().check(files);
 * </pre> Every fault is reported at once with file, line, path and mend.
 */
public final class ConfigurationChecker {

	/**
	 * Largest configuration, in bytes of JSON; the platform's store holds one megabyte.
	 */
	public static final int MAXIMUM_CONFIGURATION_BYTES = 900_000;

	private static final long MAXIMUM_MILLIS = 7L * 24 * 3600 * 1000;

	private static final Set<String> ROOT_FIELDS = Set.of("services", "pools", "workspaces", "dataCentres");

	private static final Set<String> SERVICE_FIELDS = Set.of("name", "kind", "pool", "firstTokenTargetMillis",
			"betweenTokensTargetMillis", "stallTimeoutMillis", "maximumBodyBytes", "keyRetentionMillis");

	private static final Set<String> POOL_FIELDS = Set.of("name", "dataCentres", "warmupMillis", "initialConcurrency",
			"fullConcurrency", "maximumInstances", "modelVersion", "minimumServers", "concurrentLoads");

	private static final Set<String> WORKSPACE_FIELDS = Set.of("name", "keyDigest", "weight", "workClass", "services");

	private static final Set<String> DATA_CENTRE_FIELDS = Set.of("name", "region");

	private final FaultCollector faults = new FaultCollector();

	private final Map<String, String> definedIn = new HashMap<>();

	private final List<Reference> references = new ArrayList<>();

	private final List<ServicePolicy> services = new ArrayList<>();

	private final List<PoolPolicy> pools = new ArrayList<>();

	private final List<WorkspacePolicy> workspaces = new ArrayList<>();

	private final List<DataCentrePolicy> dataCentres = new ArrayList<>();

	/**
	 * Checks a set of files. A checker is used once.
	 * @param files the files, not {@code null}
	 * @return the configuration with revision 0, or all faults
	 */
	public ConfigurationResult check(List<ConfigurationFile> files) {
		files.forEach(this::readFile);
		checkReferences();
		checkKeys();
		Configuration configuration = new Configuration(0, "", List.copyOf(this.services), List.copyOf(this.pools),
				List.copyOf(this.workspaces), List.copyOf(this.dataCentres));
		checkSize(configuration);
		List<ConfigurationFault> found = this.faults.faults();
		if (found.isEmpty()) {
			return new ConfigurationResult.Accepted(configuration);
		}
		return new ConfigurationResult.Rejected(found);
	}

	private void readFile(ConfigurationFile file) {
		try {
			LocatedJson root = LocatedJson.parse(file.text());
			if (!root.isObject()) {
				this.faults.add(file.name(), root, "the file must hold one object", "start the file with '{'");
				return;
			}
			new ObjectFields(file.name(), root, this.faults).allow(ROOT_FIELDS);
			readEntries(file, root, "dataCentres", DATA_CENTRE_FIELDS, this::readDataCentre);
			readEntries(file, root, "pools", POOL_FIELDS, this::readPool);
			readEntries(file, root, "services", SERVICE_FIELDS, this::readService);
			readEntries(file, root, "workspaces", WORKSPACE_FIELDS, this::readWorkspace);
		}
		catch (IOException ex) {
			this.faults.add(file.name(), LocatedJson.lineOf(ex.getMessage()), "$",
					"not well-formed JSON: " + ex.getMessage(), "correct the syntax at that line");
		}
	}

	private void readEntries(ConfigurationFile file, LocatedJson root, String list, Set<String> fields,
			EntryReader reader) {
		LocatedJson entries = root.members().get(list);
		if (entries == null) {
			return;
		}
		if (!entries.isArray()) {
			this.faults.add(file.name(), entries, "'" + list + "' must be a list", "write [ ... ]");
			return;
		}
		entries.items().forEach((entry) -> readEntry(file, entry, list, fields, reader));
	}

	private void readEntry(ConfigurationFile file, LocatedJson entry, String list, Set<String> fields,
			EntryReader reader) {
		if (!entry.isObject()) {
			this.faults.add(file.name(), entry, "an entry of '" + list + "' must be an object", "write { ... }");
			return;
		}
		ObjectFields values = new ObjectFields(file.name(), entry, this.faults);
		values.allow(fields);
		String name = values.name("name");
		String earlier = this.definedIn.putIfAbsent(list + "/" + name, file.name());
		if (earlier != null) {
			this.faults.add(file.name(), entry, "'" + name + "' is defined twice in '" + list + "'",
					"remove it here or in " + earlier);
		}
		reader.read(file.name(), entry, name, values);
	}

	private void readDataCentre(String file, LocatedJson place, String name, ObjectFields values) {
		this.dataCentres.add(new DataCentrePolicy(name, values.name("region")));
	}

	private void readPool(String file, LocatedJson place, String name, ObjectFields values) {
		List<String> centres = values.names("dataCentres");
		centres.forEach((centre) -> this.references.add(new Reference(file, place, "dataCentres", centre)));
		int initial = (int) values.number("initialConcurrency", 2, 1, 100_000);
		int full = (int) values.number("fullConcurrency", 32, 1, 100_000);
		if (initial > full) {
			this.faults.add(file, place, "'initialConcurrency' " + initial + " is above 'fullConcurrency' " + full,
					"lower the first or raise the second");
		}
		this.pools.add(new PoolPolicy(name, centres, values.number("warmupMillis", 60_000, 0, MAXIMUM_MILLIS), initial,
				full, (int) values.number("maximumInstances", 4, 1, 100_000), modelVersion(values),
				(int) values.number("minimumServers", 1, 0, 100_000),
				(int) values.number("concurrentLoads", 1, 1, 100_000)));
	}

	private static String modelVersion(ObjectFields values) {
		return values.matching("modelVersion", "[A-Za-z0-9._-]{0,64}",
				"use up to 64 letters, digits, dots, underscores and hyphens");
	}

	private void readService(String file, LocatedJson place, String name, ObjectFields values) {
		String pool = values.name("pool");
		this.references.add(new Reference(file, place, "pools", pool));
		this.services.add(new ServicePolicy(name, values.constant("kind", ServiceKind.class, ServiceKind.GENERATION),
				pool, values.number("firstTokenTargetMillis", 1_800, 1, MAXIMUM_MILLIS),
				values.number("betweenTokensTargetMillis", 66, 1, MAXIMUM_MILLIS),
				values.number("stallTimeoutMillis", 10_000, 100, MAXIMUM_MILLIS),
				values.number("maximumBodyBytes", 262_144, 1, 16L * 1024 * 1024),
				values.number("keyRetentionMillis", 24L * 3600 * 1000, 1_000, MAXIMUM_MILLIS)));
	}

	private void readWorkspace(String file, LocatedJson place, String name, ObjectFields values) {
		List<String> used = values.names("services");
		used.forEach((service) -> this.references.add(new Reference(file, place, "services", service)));
		String keyDigest = values.matching("keyDigest", "[0-9a-f]{64}",
				"use the SHA-256 of the key in 64 lower-case hexadecimal digits; never write the key itself");
		this.workspaces.add(new WorkspacePolicy(name, keyDigest, (int) values.number("weight", 1, 1, 1_000),
				values.constant("workClass", WorkClass.class, WorkClass.DEADLINE), used));
	}

	private void checkReferences() {
		this.references.stream()
			.filter((reference) -> !this.definedIn.containsKey(reference.list() + "/" + reference.name()))
			.forEach((reference) -> this.faults.add(reference.file(), reference.place(),
					"'" + reference.name() + "' is not defined in '" + reference.list() + "'",
					"define it or correct the name"));
	}

	private void checkKeys() {
		Set<String> seen = new HashSet<>();
		this.workspaces.stream()
			.filter((workspace) -> !seen.add(workspace.keyDigest()))
			.forEach((workspace) -> this.faults.add(this.definedIn.get("workspaces/" + workspace.name()), 0,
					"$.workspaces", "workspace '" + workspace.name() + "' has the key of another workspace",
					"give each workspace a key of its own"));
	}

	private void checkSize(Configuration configuration) {
		int sizeBytes = new Gson().toJson(configuration).getBytes(StandardCharsets.UTF_8).length;
		if (sizeBytes > MAXIMUM_CONFIGURATION_BYTES) {
			this.faults.add("(all files)", 0, "$",
					"the configuration has " + sizeBytes + " bytes, above " + MAXIMUM_CONFIGURATION_BYTES,
					"remove entries that are no longer used");
		}
	}

	@FunctionalInterface
	private interface EntryReader {

		void read(String file, LocatedJson place, String name, ObjectFields values);

	}

	private record Reference(String file, LocatedJson place, String list, String name) {
	}

}
