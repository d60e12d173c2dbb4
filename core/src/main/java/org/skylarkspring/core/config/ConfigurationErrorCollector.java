package org.skylarkspring.core.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the faults of one set of files.
 */
final class ConfigurationErrorCollector {

	private final List<ConfigurationError> errors = new ArrayList<>();

	void add(String file, int line, String path, String message, String mend) {
		this.errors.add(new ConfigurationError(file, line, path, message, mend));
	}

	void add(String file, LocatedJsonValue place, String message, String mend) {
		add(file, place.line(), place.path(), message, mend);
	}

	List<ConfigurationError> errors() {
		return List.copyOf(this.errors);
	}

}
