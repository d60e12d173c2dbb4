package org.skylarkspring.core.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the errors found while validating a set of configuration files.
 */
final class ConfigurationErrorCollector {

	private final List<ConfigurationError> errors = new ArrayList<>();

	void add(String file, int line, String path, String message, String remedy) {
		this.errors.add(new ConfigurationError(file, line, path, message, remedy));
	}

	void add(String file, LocatedJsonValue location, String message, String remedy) {
		add(file, location.line(), location.path(), message, remedy);
	}

	List<ConfigurationError> errors() {
		return List.copyOf(this.errors);
	}

}
