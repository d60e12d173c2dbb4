package org.skylarkspring.core.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the faults of one set of files.
 */
final class FaultCollector {

	private final List<ConfigurationFault> faults = new ArrayList<>();

	void add(String file, int line, String path, String message, String mend) {
		this.faults.add(new ConfigurationFault(file, line, path, message, mend));
	}

	void add(String file, LocatedJson place, String message, String mend) {
		add(file, place.line(), place.path(), message, mend);
	}

	List<ConfigurationFault> faults() {
		return List.copyOf(this.faults);
	}

}
