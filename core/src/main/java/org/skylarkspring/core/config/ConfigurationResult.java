package org.skylarkspring.core.config;

import java.util.List;

/**
 * Result of checking a set of configuration files.
 */
public sealed interface ConfigurationResult {

	/**
	 * The files are sound.
	 *
	 * @param configuration the configuration, with revision 0
	 */
	record Accepted(Configuration configuration) implements ConfigurationResult {
	}

	/**
	 * The files have faults; nothing may be published.
	 *
	 * @param faults all faults found, at least one
	 */
	record Rejected(List<ConfigurationFault> faults) implements ConfigurationResult {
	}

}
