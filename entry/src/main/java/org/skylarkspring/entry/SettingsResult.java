package org.skylarkspring.entry;

import java.util.List;

/**
 * Result of reading the process settings.
 */
public sealed interface SettingsResult {

	/**
	 * The settings are sound.
	 *
	 * @param settings the settings
	 */
	record Accepted(EntrySettings settings) implements SettingsResult {
	}

	/**
	 * The settings have faults.
	 *
	 * @param errors all faults
	 */
	record Rejected(List<String> errors) implements SettingsResult {
	}

	/**
	 * Help was asked for.
	 *
	 * @param text the help text
	 */
	record HelpRequested(String text) implements SettingsResult {
	}

}
