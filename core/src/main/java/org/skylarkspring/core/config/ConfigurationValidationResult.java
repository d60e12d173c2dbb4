package org.skylarkspring.core.config;

import java.util.List;

/**
 * Result of validating a set of configuration files.
 */
public sealed interface ConfigurationValidationResult {

	/**
	 * The files are valid.
	 *
	 * @param configuration the configuration, with revision 0
	 */
	record Accepted(Configuration configuration) implements ConfigurationValidationResult {
	}

	/**
	 * The files contain errors; the configuration must not be published.
	 *
	 * @param errors all errors found, at least one
	 */
	record Rejected(List<ConfigurationError> errors) implements ConfigurationValidationResult {
	}

}
