package org.skylarkspring.core.config;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Reads the fields of one JSON object and reports each error with its location.
 */
final class JsonObjectReader {

	private static final List<String> UNIT_SUFFIXES = List.of("Millis", "Seconds", "Minutes", "Hours", "Ms", "Bytes",
			"Kilobytes", "Megabytes");

	private final String file;

	private final LocatedJsonValue object;

	private final ConfigurationErrorCollector errors;

	JsonObjectReader(String file, LocatedJsonValue object, ConfigurationErrorCollector errors) {
		this.file = file;
		this.object = object;
		this.errors = errors;
	}

	void rejectUnknownFields(Set<String> names) {
		this.object.members()
			.entrySet()
			.stream()
			.filter((member) -> !names.contains(member.getKey()))
			.forEach((member) -> this.errors.add(this.file, member.getValue(),
					"unknown field '" + member.getKey() + "'", suggestRemedy(member.getKey(), names)));
	}

	String readName(String field) {
		String value = findText(field).orElse("");
		if (!value.matches("[a-z0-9][a-z0-9-]{0,62}")) {
			this.errors.add(this.file, locate(field), "'" + field + "' must be a name, found '" + value + "'",
					"use 1 to 63 lower-case letters, digits and hyphens");
		}
		return value;
	}

	String readMatching(String field, String pattern, String remedy) {
		String value = findText(field).orElse("");
		if (!value.matches(pattern)) {
			this.errors.add(this.file, locate(field), "'" + field + "' has an invalid format", remedy);
		}
		return value;
	}

	long readNumber(String field, long defaultValue, long minimum, long maximum) {
		LocatedJsonValue value = this.object.members().get(field);
		if (value == null) {
			return defaultValue;
		}
		Optional<Long> parsed = parseLong(value);
		if (parsed.isEmpty() || parsed.get() < minimum || parsed.get() > maximum) {
			this.errors.add(this.file, value,
					"'" + field + "' must be a whole number within its range, found '" + value.text() + "'",
					"use a number from " + minimum + " to " + maximum + ", without a unit");
			return defaultValue;
		}
		return parsed.get();
	}

	<E extends Enum<E>> E readEnumConstant(String field, Class<E> type, E defaultValue) {
		Optional<String> value = findText(field);
		if (value.isEmpty()) {
			return defaultValue;
		}
		Optional<E> found = Stream.of(type.getEnumConstants())
			.filter((constant) -> wireName(constant).equals(value.get()))
			.findFirst();
		if (found.isEmpty()) {
			List<String> allowed = Stream.of(type.getEnumConstants()).map(JsonObjectReader::wireName).toList();
			this.errors.add(this.file, locate(field), "'" + field + "' has the unknown value '" + value.get() + "'",
					"use one of " + allowed);
		}
		return found.orElse(defaultValue);
	}

	List<String> readNames(String field) {
		LocatedJsonValue value = this.object.members().get(field);
		if (value == null || !value.isArray() || value.items().stream().anyMatch((item) -> item.text() == null)) {
			this.errors.add(this.file, locate(field), "'" + field + "' must be an array of names",
					"write [\"first\", \"second\"]");
			return List.of();
		}
		return value.items().stream().map(LocatedJsonValue::text).toList();
	}

	private static String wireName(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

	private Optional<Long> parseLong(LocatedJsonValue value) {
		try {
			return value.isNumber() ? Optional.of(Long.valueOf(value.text())) : Optional.empty();
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private Optional<String> findText(String field) {
		return Optional.ofNullable(this.object.members().get(field)).map(LocatedJsonValue::text);
	}

	private LocatedJsonValue locate(String field) {
		return this.object.members().getOrDefault(field, this.object);
	}

	private String suggestRemedy(String field, Set<String> names) {
		String stem = stripUnitSuffix(field);
		return names.stream()
			.filter((name) -> stripUnitSuffix(name).equalsIgnoreCase(stem))
			.findFirst()
			.map((name) -> "the field is '" + name + "'; convert the value to that unit")
			.orElseGet(() -> "remove it or use one of " + names.stream().sorted(Comparator.naturalOrder()).toList());
	}

	private String stripUnitSuffix(String field) {
		return UNIT_SUFFIXES.stream()
			.filter(field::endsWith)
			.findFirst()
			.map((suffix) -> field.substring(0, field.length() - suffix.length()))
			.orElse(field);
	}

}
