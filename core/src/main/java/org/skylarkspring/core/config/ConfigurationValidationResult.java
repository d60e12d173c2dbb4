package org.skylarkspring.core.config;

import java.util.List;

/**
 * Result of checking a set of configuration files.
 */
public sealed interface ConfigurationValidationResult {

	/**
	 * The files are sound.
	 *
	 * @param configuration the configuration, with revision 0
	 */
	record Accepted(Configuration configuration) implements ConfigurationValidationResult {
	}

	/**
	 * The files have faults; nothing may be published.
	 *
	 * @param errors all faults found, at least one
	 */
	record Rejected(List<ConfigurationError> errors) implements ConfigurationValidationResult {
	}

}
