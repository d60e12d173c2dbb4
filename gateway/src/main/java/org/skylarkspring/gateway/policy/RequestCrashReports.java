package org.skylarkspring.gateway.policy;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.gateway.model.PromptCrash;
import org.skylarkspring.gateway.model.RequestCrashes;

/**
 * The reports of all instances on requests that were sent to servers that crashed, each
 * without the requests that have succeeded since.
 */
public final class RequestCrashReports {

	/** Number of keys in all reports above which the oldest reports are forgotten. */
	static final int MAXIMUM_KEYS = 8_192;

	private final Map<String, TrackedReport> reports = new LinkedHashMap<>();

	private int keyCount;

	/**
	 * Adds a report, or replaces the one with its name.
	 * @param report the report
	 * @param nowMillis current time in milliseconds
	 * @return the crashes of the report
	 */
	public List<PromptCrash> add(RequestCrashes report, long nowMillis) {
		TrackedReport former = this.reports.get(report.name());
		Set<String> keys = Set.copyOf(report.requestKeys());
		TrackedReport tracked = (former != null)
				? new TrackedReport(report, keys, former.addedMillis, former.clearedKeys)
				: new TrackedReport(report, keys, nowMillis, new HashSet<>());
		this.reports.put(report.name(), tracked);
		this.keyCount += report.requestKeys().size() - ((former != null) ? former.report.requestKeys().size() : 0);
		return tracked.remaining().stream().map(report::crashOf).toList();
	}

	/**
	 * Returns what a report that is about to replace the one with its name withdraws.
	 * @param report the new report
	 * @return the crashes that no report contains any more
	 */
	public List<PromptCrash> withdrawnBy(RequestCrashes report) {
		TrackedReport former = this.reports.get(report.name());
		if (former == null) {
			return List.of();
		}
		return onlyIn(former).stream().filter((crash) -> !report.requestKeys().contains(crash.partId())).toList();
	}

	/**
	 * Removes a report.
	 * @param name name of the report
	 * @return the crashes that no other report contains
	 */
	public List<PromptCrash> remove(String name) {
		TrackedReport removed = this.reports.get(name);
		if (removed == null) {
			return List.of();
		}
		List<PromptCrash> crashes = onlyIn(removed);
		this.reports.remove(name);
		this.keyCount -= removed.report.requestKeys().size();
		return crashes;
	}

	private List<PromptCrash> onlyIn(TrackedReport report) {
		return report.report.requestKeys()
			.stream()
			.filter((key) -> this.reports.values()
				.stream()
				.noneMatch((other) -> other != report && other.report.server().equals(report.report.server())
						&& other.keys.contains(key) && !other.clearedKeys.contains(key)))
			.map(report.report::crashOf)
			.toList();
	}

	/**
	 * Removes the requests with a key from all reports, because one of them succeeded.
	 * @param key the key
	 * @return the names of the reports that contained the key
	 */
	public List<String> clear(String key) {
		List<TrackedReport> containing = containing(key);
		containing.forEach((tracked) -> tracked.clearedKeys.add(key));
		return containing.stream().map((tracked) -> tracked.report.name()).toList();
	}

	/**
	 * Returns on how many servers a request may have crashed as other instances see it,
	 * who do not know which requests have succeeded here.
	 * @param key key of the request
	 * @return number of servers
	 */
	public long reportedServers(String key) {
		return containing(key).stream().map((tracked) -> tracked.report.server()).distinct().count();
	}

	private List<TrackedReport> containing(String key) {
		return this.reports.values().stream().filter((tracked) -> tracked.keys.contains(key)).toList();
	}

	/**
	 * Returns a report without the requests that have succeeded.
	 * @param name name of the report
	 * @return the report, empty if no request remains
	 */
	public Optional<RequestCrashes> reduced(String name) {
		return Optional.ofNullable(this.reports.get(name))
			.filter((tracked) -> !tracked.remaining().isEmpty())
			.map((tracked) -> tracked.report.withKeys(tracked.remaining()));
	}

	/**
	 * Returns the reports that have expired.
	 * @param nowMillis current time in milliseconds
	 * @param retentionMillis time after which a report expires, in milliseconds
	 * @return names of the reports
	 */
	public List<String> expired(long nowMillis, long retentionMillis) {
		return this.reports.values()
			.stream()
			.filter((tracked) -> nowMillis - tracked.addedMillis >= retentionMillis)
			.map((tracked) -> tracked.report.name())
			.toList();
	}

	/**
	 * Returns the report to be forgotten because there are too many.
	 * @param quarantinedKeys keys that have to be kept
	 * @return name of the oldest report without such a key, empty if all can be kept
	 */
	public Optional<String> superfluous(Set<String> quarantinedKeys) {
		if (this.keyCount <= MAXIMUM_KEYS) {
			return Optional.empty();
		}
		return this.reports.values()
			.stream()
			.filter((tracked) -> tracked.report.requestKeys().stream().noneMatch(quarantinedKeys::contains))
			.map((tracked) -> tracked.report.name())
			.findFirst();
	}

	/**
	 * Returns whether there is a report.
	 * @param name name of the report
	 * @return {@code false} if it is unknown
	 */
	public boolean contains(String name) {
		return this.reports.containsKey(name);
	}

	/**
	 * Returns whether there are reports.
	 * @return {@code true} if there are none
	 */
	public boolean isEmpty() {
		return this.reports.isEmpty();
	}

	/**
	 * A report and what this instance knows of it.
	 *
	 * @param report the report as stored
	 * @param keys keys of its requests
	 * @param addedMillis time at which this instance received it, in milliseconds
	 * @param clearedKeys keys of requests that have succeeded since
	 */
	private record TrackedReport(RequestCrashes report, Set<String> keys, long addedMillis, Set<String> clearedKeys) {

		private List<String> remaining() {
			return this.report.requestKeys().stream().filter((key) -> !this.clearedKeys.contains(key)).toList();
		}

	}

}
