package org.skylarkspring.gateway.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.gson.Gson;

import org.skylarkspring.gateway.model.PromptCrash;
import org.skylarkspring.gateway.model.RequestCrashes;
import org.skylarkspring.gateway.model.ServerIncarnation;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.CrashTable;
import org.skylarkspring.gateway.policy.RequestCrashReports;

/**
 * Records on which requests, whatever their prompts, servers may have crashed. Writes the
 * reports of this instance, reads those of all, and keeps the table up to date with them.
 */
final class RequestCrashRecorder {

	private final Gson gson = new Gson();

	private final RequestCrashReports reports = new RequestCrashReports();

	private final GatewayContext context;

	private final CrashTable table;

	private final CrashReportStore store;

	/**
	 * Creates a recorder.
	 * @param context the context
	 * @param table table in which the crashes are entered
	 * @param store keeps the reports of all instances
	 */
	RequestCrashRecorder(GatewayContext context, CrashTable table, CrashReportStore store) {
		this.context = context;
		this.table = table;
		this.store = store;
	}

	/**
	 * Returns whether there is no report, so that no request can be quarantined.
	 * @return {@code true} if there is none
	 */
	boolean isEmpty() {
		return this.reports.isEmpty();
	}

	/**
	 * Reports that a server has crashed. Of the requests that it had, those come first on
	 * which others have crashed.
	 * @param server the server
	 * @param requestKeys keys of the requests that it had
	 * @return {@code false} if all have succeeded a short time ago
	 */
	boolean reportCrash(ServerIncarnation server, List<String> requestKeys) {
		List<String> suspects = this.table.suspectKeys(requestKeys, this.context.scheduler.nowMillis())
			.stream()
			.sorted(Comparator.comparing(this.table::crashCount).reversed())
			.limit(RequestCrashes.MAXIMUM_KEYS)
			.toList();
		if (suspects.isEmpty()) {
			return false;
		}
		RequestCrashes report = IntStream.iterate(0, (number) -> number + 1)
			.mapToObj((number) -> new RequestCrashes(server, suspects, this.context.settings.instanceId(), number))
			.filter((candidate) -> !this.reports.contains(candidate.name()))
			.findFirst()
			.orElseThrow();
		this.context.metrics.recordDecision("server crash reported");
		this.context.log.logStateChange("server crashed, its requests are suspected",
				Map.of("server", server.serverId(), "requests", requestKeys.size(), "suspected", suspects.size(),
						"suspected-before",
						suspects.stream().filter((key) -> this.table.crashCount(key) > 0).toList()));
		add(report);
		this.store.write(report.name(), this.gson.toJson(report));
		return true;
	}

	/**
	 * Receives a report from the store.
	 * @param object the report
	 * @return {@code false} if it is invalid
	 */
	boolean onReport(StoredObject object) {
		Optional<RequestCrashes> report = Optional
			.ofNullable(this.gson.fromJson(object.content(), RequestCrashes.class))
			.filter(RequestCrashes::isValid)
			.filter((decoded) -> decoded.name().equals(object.name()));
		report.ifPresent(this::add);
		return report.isPresent();
	}

	private void add(RequestCrashes report) {
		long now = this.context.scheduler.nowMillis();
		this.reports.withdrawnBy(report).forEach((crash) -> this.table.remove(crash.name()));
		List<PromptCrash> crashes = this.reports.add(report, now);
		List<String> suspects = this.table.suspectKeys(report.requestKeys(), now);
		crashes.stream()
			.filter((crash) -> suspects.contains(crash.partId()))
			.forEach((crash) -> this.table.add(crash, now));
		report.requestKeys().stream().filter((key) -> !suspects.contains(key)).forEach(this::clear);
		forgetSuperfluousReports();
	}

	private void forgetSuperfluousReports() {
		Set<String> quarantined = this.table.quarantines().keySet();
		Optional<String> superfluous = this.reports.superfluous(quarantined);
		while (superfluous.isPresent()) {
			forget(superfluous.get());
			superfluous = this.reports.superfluous(quarantined);
		}
	}

	/**
	 * Forgets a report, which stays in the store.
	 * @param name name of the report
	 */
	void forget(String name) {
		this.reports.remove(name).forEach((crash) -> this.table.remove(crash.name()));
	}

	/**
	 * Records that a request has succeeded, and takes it out of all reports.
	 * @param requestKeys keys of the request
	 */
	void recordSuccess(List<String> requestKeys) {
		if (!this.reports.isEmpty()) {
			requestKeys.forEach(this::clear);
		}
	}

	// Other instances learn of it only if they may come to suspect the request, so that
	// most successes cost no write.
	private void clear(String key) {
		boolean suspectElsewhere = this.reports.reportedServers(key) >= CrashTable.SUSPECT_CRASHES;
		List<String> names = this.reports.clear(key);
		if (suspectElsewhere) {
			names.forEach(this::writeReduced);
		}
	}

	private void writeReduced(String name) {
		this.reports.reduced(name).ifPresentOrElse((report) -> {
			this.reports.add(report, this.context.scheduler.nowMillis());
			this.store.replace(name, this.gson.toJson(report));
		}, () -> {
			this.reports.remove(name);
			this.store.remove(name);
		});
	}

	/** Removes expired reports, also from the store. */
	void removeExpired() {
		this.reports.expired(this.context.scheduler.nowMillis(), this.table.retentionMillis()).forEach((name) -> {
			forget(name);
			this.store.remove(name);
		});
	}

}
