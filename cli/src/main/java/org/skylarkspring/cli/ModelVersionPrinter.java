package org.skylarkspring.cli;

import java.io.PrintStream;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.PoolConfiguration;
import org.skylarkspring.core.model.ServerStatus;
import org.skylarkspring.entry.api.AdminMessages;

/**
 * Prints the configured and the loaded model version of each server.
 */
final class ModelVersionPrinter {

	private static final String ROW_FORMAT = "%-20s %-18s %-12s %-12s%n";

	private final PrintStream output;

	ModelVersionPrinter(PrintStream output) {
		this.output = output;
	}

	void print(Configuration configuration, AdminMessages.StatusResponse status) {
		this.output.printf(ROW_FORMAT, "SERVER", "POOL", "CONFIGURED", "LOADED");
		status.core().servers().forEach((server) -> print(configuration, server));
	}

	private void print(Configuration configuration, ServerStatus server) {
		String configuredVersion = configuration.pool(server.pool()).map(PoolConfiguration::modelVersion).orElse("");
		this.output.printf(ROW_FORMAT, server.serverId(), server.pool(),
				configuredVersion.isEmpty() ? "-" : configuredVersion,
				server.modelVersion().isEmpty() ? "-" : server.modelVersion());
	}

}
