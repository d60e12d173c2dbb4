package org.skylarkspring.entry;

import java.util.List;

/**
 * Result of reading the settings of an entry instance.
 */
public sealed interface SettingsResult {

	/**
	 * The settings are valid.
	 *
	 * @param settings the validated settings
	 */
	record Accepted(EntrySettings settings) implements SettingsResult {
	}

	/**
	 * The settings are invalid.
	 *
	 * @param errors messages of all errors found
	 */
	record Rejected(List<String> errors) implements SettingsResult {
	}

	/**
	 * The help text was requested.
	 *
	 * @param text the help text
	 */
	record HelpRequested(String text) implements SettingsResult {
	}

}
