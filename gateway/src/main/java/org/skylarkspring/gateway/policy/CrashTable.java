package org.skylarkspring.gateway.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.skylarkspring.gateway.model.PromptCrash;
import org.skylarkspring.gateway.model.RequestIdentity;

/**
 * Decides which prompts and which whole requests are not sent to servers any more, from
 * the servers that crashed on them. A key is the id of a part of a prompt, or one of the
 * keys of a request (see {@link RequestIdentity}). It is quarantined when several servers
 * have crashed on requests with it and none has completed such a request since. If all
 * these requests have further keys in common, as prompts may have other parts in common,
 * only requests with all of them are refused. <pre class="code">
 * table.add(crash, nowMillis);
 * if (table.isQuarantined(keys)) ...
 * </pre>
 */
public final class CrashTable {

	/** Number of crashed servers at which a key is quarantined. */
	static final int QUARANTINE_CRASHES = 3;

	/** Number of crashed servers at which a request is not retried on another one. */
	public static final int SUSPECT_CRASHES = 2;

	/**
	 * Time after which a report expires. What still crashes servers then has to be
	 * detected again.
	 */
	static final long RETENTION_MILLIS = 30 * 60 * 1_000L;

	/**
	 * Time after a successful response in which a key is not suspected: parts that many
	 * prompts share, and requests that many callers repeat, are often in use on a server
	 * that crashes for another reason.
	 */
	static final long SUCCESS_MEMORY_MILLIS = 10_000;

	private static final int MAXIMUM_REMEMBERED_SUCCESSES = 4_096;

	private static final int MAXIMUM_CRASHES = 1_000;

	private final Map<String, Map<String, TrackedCrash>> crashesByKey = new HashMap<>();

	private final RecentSuccesses promptSuccesses = new RecentSuccesses(MAXIMUM_REMEMBERED_SUCCESSES,
			SUCCESS_MEMORY_MILLIS);

	/** Apart from those of prompts, because there is one for each request. */
	private final RecentSuccesses requestSuccesses = new RecentSuccesses(MAXIMUM_REMEMBERED_SUCCESSES,
			SUCCESS_MEMORY_MILLIS);

	private final long retentionMillis;

	/**
	 * Creates an empty table.
	 * @param retentionJitterMillis time added to the retention of reports, different on
	 * each instance so that they do not all remove the same report at once
	 */
	public CrashTable(long retentionJitterMillis) {
		this.retentionMillis = RETENTION_MILLIS + retentionJitterMillis;
	}

	/**
	 * Returns the keys that may have caused a crash.
	 * @param keys keys of a request that was lost
	 * @param nowMillis current time in milliseconds
	 * @return the keys without a recent successful response
	 */
	public List<String> suspectKeys(Collection<String> keys, long nowMillis) {
		return keys.stream().distinct().filter((key) -> !successes(key).contains(key, nowMillis)).toList();
	}

	private RecentSuccesses successes(String key) {
		return RequestIdentity.isRequestKey(key) ? this.requestSuccesses : this.promptSuccesses;
	}

	/**
	 * Adds a report.
	 * @param crash the report
	 * @param nowMillis current time in milliseconds
	 * @return {@code false} if the report is known or the table is full
	 */
	public boolean add(PromptCrash crash, long nowMillis) {
		Map<String, TrackedCrash> crashes = this.crashesByKey.getOrDefault(crash.partId(), Map.of());
		if (crashes.containsKey(crash.name()) || (!RequestIdentity.isRequestKey(crash.partId()) && isFull())) {
			return false;
		}
		this.crashesByKey.computeIfAbsent(crash.partId(), (key) -> new HashMap<>())
			.put(crash.name(), new TrackedCrash(crash, nowMillis));
		return true;
	}

	/**
	 * Returns whether no further report on a part of a prompt can be added until one is
	 * removed.
	 * @return {@code true} if the table is full
	 */
	public boolean isFull() {
		return this.crashesByKey.entrySet()
			.stream()
			.filter((entry) -> !RequestIdentity.isRequestKey(entry.getKey()))
			.mapToInt((entry) -> entry.getValue().size())
			.sum() >= MAXIMUM_CRASHES;
	}

	/**
	 * Removes a report.
	 * @param name name of the report
	 */
	public void remove(String name) {
		this.crashesByKey.values().forEach((crashes) -> crashes.remove(name));
		this.crashesByKey.values().removeIf(Map::isEmpty);
	}

	/**
	 * Returns on how many servers requests with a key have crashed.
	 * @param key id of a part of a prompt, or key of a request
	 * @return number of servers
	 */
	public int crashCount(String key) {
		return this.crashesByKey.getOrDefault(key, Map.of()).size();
	}

	/**
	 * Returns the time after which a report expires.
	 * @return time in milliseconds
	 */
	public long retentionMillis() {
		return this.retentionMillis;
	}

	/**
	 * Returns the names of all reports.
	 * @return the names
	 */
	public Set<String> names() {
		Set<String> names = new HashSet<>();
		this.crashesByKey.values().forEach((crashes) -> names.addAll(crashes.keySet()));
		return names;
	}

	/**
	 * Records that a server has responded to a request without crashing, and removes the
	 * reports that this contradicts.
	 * @param keys shared parts of its prompt, or its own keys
	 * @param nowMillis current time in milliseconds
	 * @return the removed reports
	 */
	public List<PromptCrash> recordSuccess(Collection<String> keys, long nowMillis) {
		keys.forEach((key) -> successes(key).record(key, nowMillis));
		return keys.stream()
			.flatMap((key) -> Stream.ofNullable(this.crashesByKey.remove(key)))
			.flatMap((crashes) -> crashes.values().stream())
			.map(TrackedCrash::crash)
			.toList();
	}

	/**
	 * Returns whether a request must not be sent to a server.
	 * @param keys shared parts of its prompt, or its own keys
	 * @return {@code true} if one of them is quarantined
	 */
	public boolean isQuarantined(Collection<String> keys) {
		return hasCrashes(keys, QUARANTINE_CRASHES);
	}

	/**
	 * Returns whether a request should not be sent to another server after a failure.
	 * @param keys shared parts of its prompt, or its own keys
	 * @return {@code true} if servers have crashed on requests with one of them
	 */
	public boolean isSuspect(Collection<String> keys) {
		return hasCrashes(keys, SUSPECT_CRASHES);
	}

	private boolean hasCrashes(Collection<String> keys, int minimum) {
		return keys.stream()
			.map((key) -> this.crashesByKey.getOrDefault(key, Map.of()))
			.filter((crashes) -> crashes.size() >= minimum)
			.anyMatch((crashes) -> keys.containsAll(commonKeys(crashes.values())));
	}

	private static Set<String> commonKeys(Collection<TrackedCrash> crashes) {
		Set<String> common = null;
		for (TrackedCrash tracked : crashes) {
			if (common == null) {
				common = new HashSet<>(tracked.crash.sharedPartIds());
			}
			common.retainAll(tracked.crash.sharedPartIds());
		}
		return (common != null) ? common : Set.of();
	}

	/**
	 * Returns how long a request will be refused if no further server crashes on it.
	 * @param keys shared parts of its prompt, or its own keys
	 * @param nowMillis current time in milliseconds
	 * @return remaining time in milliseconds, 0 if none of them is quarantined
	 */
	public long remainingQuarantineMillis(Collection<String> keys, long nowMillis) {
		return keys.stream()
			.map((key) -> this.crashesByKey.getOrDefault(key, Map.of()))
			.filter((crashes) -> crashes.size() >= QUARANTINE_CRASHES)
			.mapToLong((crashes) -> endMillis(crashes.values()) - nowMillis)
			.max()
			.orElse(0);
	}

	// The quarantine ends when all but too few reports have expired.
	private long endMillis(Collection<TrackedCrash> crashes) {
		return this.retentionMillis + crashes.stream()
			.map(TrackedCrash::addedMillis)
			.sorted(Comparator.reverseOrder())
			.skip(QUARANTINE_CRASHES - 1)
			.findFirst()
			.orElse(0L);
	}

	/**
	 * Returns the quarantined keys.
	 * @return for each of them, the keys that a request must all have to be refused
	 */
	public Map<String, Set<String>> quarantines() {
		Map<String, Set<String>> quarantines = new HashMap<>();
		this.crashesByKey.forEach((key, crashes) -> {
			if (crashes.size() >= QUARANTINE_CRASHES) {
				quarantines.put(key, commonKeys(crashes.values()));
			}
		});
		return quarantines;
	}

	/**
	 * Removes the reports that have expired.
	 * @param nowMillis current time in milliseconds
	 * @return the removed reports
	 */
	public List<PromptCrash> removeExpired(long nowMillis) {
		List<PromptCrash> expired = this.crashesByKey.values()
			.stream()
			.flatMap((crashes) -> crashes.values().stream())
			.filter((tracked) -> nowMillis - tracked.addedMillis >= this.retentionMillis)
			.map(TrackedCrash::crash)
			.toList();
		expired.forEach((crash) -> remove(crash.name()));
		return expired;
	}

	/**
	 * A report and the time at which this instance received it.
	 *
	 * @param crash the report
	 * @param addedMillis time in milliseconds
	 */
	private record TrackedCrash(PromptCrash crash, long addedMillis) {
	}

}
