package org.skylarkspring.cli;

import java.io.PrintStream;

import org.skylarkspring.core.model.ServerStatus;
import org.skylarkspring.entry.api.AdminMessages;

/**
 * Prints the status of the system as tables.
 */
final class StatusPrinter {

	private final PrintStream output;

	StatusPrinter(PrintStream output) {
		this.output = output;
	}

	void print(AdminMessages.StatusResponse status) {
		this.output.printf("instance %s: active revision %d, %d open requests, %d queued requests%n",
				status.instanceId(), status.core().revision(), status.core().openRequests(),
				status.core().queuedRequests());
		this.output.printf("%n%-20s %-16s %s%n", "INSTANCE", "DATA CENTRE", "REVISION");
		status.instances().forEach(this::printInstance);
		this.output.printf("%n%-20s %-18s %-16s %-8s %-8s %6s %5s %8s%n", "SERVER", "POOL", "DATA CENTRE", "NEW WORK",
				"PHASE", "LIMIT", "OWN", "RUNNING");
		status.core().servers().forEach(this::printServer);
		status.directives()
			.stream()
			.filter((directive) -> directive.drained())
			.forEach((directive) -> this.output.printf("%ndrained: %s %s%n", directive.targetKind(),
					directive.target()));
	}

	private void printInstance(AdminMessages.InstanceRevision instance) {
		String revision = (instance.revision() < 0) ? "not reported" : String.valueOf(instance.revision());
		this.output.printf("%-20s %-16s %s%n", instance.instanceId(), instance.dataCentre(), revision);
	}

	private void printServer(ServerStatus server) {
		this.output.printf("%-20s %-18s %-16s %-8s %-8s %6d %5d %8s%n", server.serverId(), server.pool(),
				server.dataCentre(), server.eligible() ? "yes" : "no", server.phase(), server.limit(),
				server.ownRunning(), (server.reportedRunning() < 0) ? "-" : server.reportedRunning());
	}

}
