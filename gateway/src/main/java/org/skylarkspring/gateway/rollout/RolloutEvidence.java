package org.skylarkspring.gateway.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Outcomes of requests since the order of a rollout, by time window, route and version.
 * Windows are those of the wall clock, so that the outcomes of all instances in the same
 * seconds are added up.
 */
public final class RolloutEvidence {

	/**
	 * Length of a window. Shorter ones have too few requests to compare, in longer ones a
	 * disruption strikes the versions unequally.
	 */
	public static final long WINDOW_MILLIS = 2_000;

	/** Older windows no longer change the verdict. */
	private static final int MAXIMUM_WINDOWS = 64;

	/** Windows that are reported to the other instances: this one and the last one. */
	private static final int REPORTED_WINDOWS = 2;

	/**
	 * A response counts as slow if it takes several times the usual time of the route.
	 */
	private static final double SLOW_FACTOR = 2.5;

	/**
	 * Least delay of a slow response. Shorter ones are usual on busy machines, whatever
	 * the version. A mean interval of many events varies less and needs no such limit.
	 */
	private static final double MINIMUM_DELAY_MILLIS = 25;

	/** Number of responses on old servers from which the usual time is known. */
	private static final int MINIMUM_TIMED_RESPONSES = 5;

	/** Weight of the latest response in the usual time. */
	private static final double USUAL_TIME_WEIGHT = 0.05;

	private static final String SEPARATOR = "\n";

	private final String keyPrefix;

	private final TreeMap<Long, Map<Cell, VersionOutcomes>> own = new TreeMap<>();

	private final TreeMap<Long, Map<Cell, VersionOutcomes>> peers = new TreeMap<>();

	private final Map<String, UsualTime> usualTimes = new HashMap<>();

	/**
	 * Creates evidence without outcomes.
	 * @param rollout the rollout
	 */
	public RolloutEvidence(Rollout rollout) {
		this.keyPrefix = rollout.name() + SEPARATOR + rollout.target() + SEPARATOR;
	}

	/**
	 * Records the end of a request on a server.
	 * @param route name of the route
	 * @param newVersion whether the server is of the new version
	 * @param failed whether the request failed
	 * @param times how long the response took, measured in one or more ways, in
	 * milliseconds
	 * @param epochMillis current time in milliseconds since the epoch
	 * @return whether the request failed or was slow
	 */
	public boolean record(String route, boolean newVersion, boolean failed, List<Double> times, long epochMillis) {
		boolean slow = !failed && isSlow(route, times);
		if (!newVersion && !failed) {
			for (int index = 0; index < times.size(); index++) {
				usualTime(route, index).record(times.get(index));
			}
		}
		Cell cell = new Cell(epochMillis / WINDOW_MILLIS, route, newVersion);
		merge(this.own, cell, new VersionOutcomes(toKey(cell), 1, failed ? 1 : 0, slow ? 1 : 0));
		return failed || slow;
	}

	private boolean isSlow(String route, List<Double> times) {
		boolean slow = false;
		for (int index = 0; index < times.size(); index++) {
			slow |= usualTime(route, index).isExceededBy(times.get(index), (index == 0) ? MINIMUM_DELAY_MILLIS : 0);
		}
		return slow;
	}

	private UsualTime usualTime(String route, int index) {
		return this.usualTimes.computeIfAbsent(index + SEPARATOR + route, (key) -> new UsualTime());
	}

	private static void merge(TreeMap<Long, Map<Cell, VersionOutcomes>> table, Cell cell, VersionOutcomes outcomes) {
		table.computeIfAbsent(cell.window(), (key) -> new HashMap<>()).merge(cell, outcomes, VersionOutcomes::plus);
		evictOldest(table);
	}

	private static void evictOldest(TreeMap<Long, Map<Cell, VersionOutcomes>> table) {
		while (table.size() > MAXIMUM_WINDOWS) {
			table.pollFirstEntry();
		}
	}

	/**
	 * Returns what this instance reports to the others.
	 * @param epochMillis current time in milliseconds since the epoch
	 * @return own outcomes of the last windows
	 */
	public List<VersionOutcomes> toReport(long epochMillis) {
		long firstWindow = epochMillis / WINDOW_MILLIS - REPORTED_WINDOWS + 1;
		return this.own.tailMap(firstWindow).values().stream().flatMap((cells) -> cells.values().stream()).toList();
	}

	/**
	 * Applies the sums over the other instances. Sums fall when reports expire, therefore
	 * the largest ones are kept.
	 * @param outcomes the sums, also those of other rollouts
	 * @param epochMillis current time in milliseconds since the epoch
	 */
	public void applyPeers(List<VersionOutcomes> outcomes, long epochMillis) {
		long latestWindow = epochMillis / WINDOW_MILLIS + REPORTED_WINDOWS;
		outcomes.forEach((sum) -> toCell(sum.key())
			.filter((cell) -> cell.window() <= latestWindow && cell.window() > latestWindow - MAXIMUM_WINDOWS)
			.ifPresent((cell) -> {
				this.peers.computeIfAbsent(cell.window(), (key) -> new HashMap<>())
					.merge(cell, sum, (former, latest) -> (latest.requests() >= former.requests()) ? latest : former);
				evictOldest(this.peers);
			}));
	}

	/**
	 * Returns the outcomes that this instance has seen itself.
	 * @return the outcomes
	 */
	public List<Sample> ownSamples() {
		return toSamples(this.own);
	}

	/**
	 * Returns the outcomes of all instances.
	 * @return the outcomes
	 */
	public List<Sample> samples() {
		TreeMap<Long, Map<Cell, VersionOutcomes>> sum = new TreeMap<>();
		this.own.values().forEach((cells) -> cells.forEach((cell, outcomes) -> merge(sum, cell, outcomes)));
		this.peers.values().forEach((cells) -> cells.forEach((cell, outcomes) -> merge(sum, cell, outcomes)));
		return toSamples(sum);
	}

	private static List<Sample> toSamples(TreeMap<Long, Map<Cell, VersionOutcomes>> table) {
		List<Sample> samples = new ArrayList<>();
		table.forEach((window, cells) -> cells.keySet()
			.stream()
			.map(Cell::route)
			.distinct()
			.sorted()
			.forEach((route) -> samples.add(new Sample(window, route, find(cells, new Cell(window, route, false)),
					find(cells, new Cell(window, route, true))))));
		return samples;
	}

	private static VersionOutcomes find(Map<Cell, VersionOutcomes> cells, Cell cell) {
		return cells.getOrDefault(cell, new VersionOutcomes("", 0, 0, 0));
	}

	private String toKey(Cell cell) {
		return this.keyPrefix + cell.window() + SEPARATOR + cell.newVersion() + SEPARATOR + cell.route();
	}

	// Keys come from other instances, perhaps of another release.
	private Optional<Cell> toCell(String key) {
		if (!key.startsWith(this.keyPrefix)) {
			return Optional.empty();
		}
		String[] parts = key.substring(this.keyPrefix.length()).split(SEPARATOR, 3);
		if (parts.length < 3 || !parts[0].matches("\\d{1,15}") || !parts[1].matches("true|false")) {
			return Optional.empty();
		}
		return Optional.of(new Cell(Long.parseLong(parts[0]), parts[2], Boolean.parseBoolean(parts[1])));
	}

	private record Cell(long window, String route, boolean newVersion) {
	}

	/**
	 * Outcomes of one route in one window.
	 *
	 * @param window number of the window
	 * @param route name of the route
	 * @param oldVersion outcomes on old servers
	 * @param newVersion outcomes on servers of the new version
	 */
	public record Sample(long window, String route, VersionOutcomes oldVersion, VersionOutcomes newVersion) {
	}

	/**
	 * Usual time of a route on old servers: a moving average of logarithms, which a few
	 * long responses hardly change.
	 */
	private static final class UsualTime {

		private double logarithm;

		private int count;

		void record(double millis) {
			double value = Math.log(Math.max(1, millis));
			this.count++;
			this.logarithm += Math.max(1.0 / this.count, USUAL_TIME_WEIGHT) * (value - this.logarithm);
		}

		boolean isExceededBy(double millis, double minimumDelayMillis) {
			double usualMillis = Math.exp(this.logarithm);
			return this.count >= MINIMUM_TIMED_RESPONSES && millis > SLOW_FACTOR * usualMillis
					&& millis - usualMillis > minimumDelayMillis;
		}

	}

}
