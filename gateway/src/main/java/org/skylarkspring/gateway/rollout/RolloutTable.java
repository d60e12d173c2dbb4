package org.skylarkspring.gateway.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.skylarkspring.core.hash.RendezvousHash;
import org.skylarkspring.gateway.model.ServerRegistration;

/**
 * Table of the rollouts that an instance knows, and of the established versions.
 */
public final class RolloutTable {

	private final RolloutBounds bounds;

	private final Function<String, List<ServerRegistration>> usableServers;

	/** Part of the exposure slack that this instance may use, by name of the rollout. */
	private final ToDoubleFunction<String> slackPart;

	private final Map<String, RolloutState> statesByName = new TreeMap<>();

	/** Services with the target of the last completed rollout. */
	private final Map<String, String> completedVersions = new HashMap<>();

	/** Services with the version of the servers that were there first. */
	private final Map<String, String> firstVersions = new HashMap<>();

	/** Orders for which this instance has received its part of the slack. */
	private final Set<List<String>> ordersWithSlack = new HashSet<>();

	private long confirmedMillis = Long.MIN_VALUE / 2;

	private long listedEra = -1;

	private final RandomGenerator random;

	/**
	 * Creates an empty table.
	 * @param bounds limits on the use of a version under test
	 * @param usableServers returns the servers of a service that accept requests
	 * @param slackPart returns the part of the slack that this instance may use for a
	 * rollout
	 * @param random source of the times at which the budget of the test is used
	 */
	public RolloutTable(RolloutBounds bounds, Function<String, List<ServerRegistration>> usableServers,
			ToDoubleFunction<String> slackPart, RandomGenerator random) {
		this.bounds = bounds;
		this.usableServers = usableServers;
		this.slackPart = slackPart;
		this.random = random;
	}

	/**
	 * Records until when the known entries are those of the store.
	 * @param atMillis when the store confirmed them at the latest
	 */
	public void confirm(long atMillis) {
		this.confirmedMillis = Math.max(this.confirmedMillis, atMillis);
	}

	/**
	 * Returns whether the known entries are recent enough to use a version under test.
	 * @param nowMillis current time in milliseconds
	 * @return {@code false} if the instance may be cut off from the store
	 */
	public boolean isFresh(long nowMillis) {
		return nowMillis - this.confirmedMillis < this.bounds.maximumAgeMillis();
	}

	/**
	 * Returns the time since the store confirmed the entries.
	 * @param nowMillis current time in milliseconds
	 * @return the time in milliseconds
	 */
	public long ageMillis(long nowMillis) {
		return nowMillis - this.confirmedMillis;
	}

	/**
	 * Replaces the entries. An instance that finds an order in its first list may have
	 * restarted and used its part of the slack before, so it gets none; the same holds
	 * for orders in a store that has returned from a copy.
	 * @param rollouts all entries
	 * @param era era of the store
	 * @param nowMillis current time in milliseconds
	 * @param epochMillis current time in milliseconds since the epoch
	 * @return orders whose stage has changed
	 */
	public List<RolloutState> replaceAll(Collection<Rollout> rollouts, long era, long nowMillis, long epochMillis) {
		boolean sameEra = era == this.listedEra;
		this.listedEra = era;
		Set<String> listed = new HashSet<>();
		rollouts.forEach((rollout) -> listed.add(rollout.name()));
		// A store that returns from a copy may lack an entry. The end of a rollout stays
		// in force then, a test does not.
		this.statesByName.values()
			.removeIf((state) -> !listed.contains(state.rollout().name()) && (sameEra || !state.stage().isFinal()));
		return rollouts.stream()
			.flatMap((rollout) -> apply(rollout, sameEra, nowMillis, epochMillis).stream())
			.toList();
	}

	/**
	 * Applies a created or updated entry.
	 * @param rollout the entry
	 * @param nowMillis current time in milliseconds
	 * @param epochMillis current time in milliseconds since the epoch
	 * @return the order, if it is new or its stage has changed
	 */
	public Optional<RolloutState> apply(Rollout rollout, long nowMillis, long epochMillis) {
		return apply(rollout, rollout.revision().era() == this.listedEra, nowMillis, epochMillis);
	}

	private Optional<RolloutState> apply(Rollout rollout, boolean mayHaveSlack, long nowMillis, long epochMillis) {
		rollout.status()
			.filter((status) -> status.stage() == RolloutStage.COMPLETED)
			.ifPresent((status) -> this.completedVersions.put(rollout.service(), status.target()));
		RolloutState known = this.statesByName.get(rollout.name());
		if (known != null && rollout.revision().isBefore(known.rollout().revision())) {
			return Optional.empty();
		}
		if (known != null && known.isSameOrder(rollout)) {
			return Optional.of(known).filter((state) -> state.update(rollout, nowMillis, epochMillis));
		}
		List<String> order = List.of(rollout.name(), rollout.service(), rollout.target());
		double slack = (mayHaveSlack && rollout.currentStatus().isEmpty() && this.ordersWithSlack.add(order))
				? this.slackPart.applyAsDouble(rollout.name()) : 0;
		RolloutState state = new RolloutState(rollout,
				new ExposureBudget(this.bounds.exposureShare(), slack, this.random), this.bounds.exposureShare(),
				nowMillis, epochMillis);
		this.statesByName.put(rollout.name(), state);
		// Determined now, as it could not be told from the target if the entry went away.
		establishedVersion(rollout.service());
		return Optional.of(state);
	}

	/**
	 * Removes an entry that was deleted or has become malformed.
	 * @param name name of the entry
	 * @return whether it was known
	 */
	public boolean remove(String name) {
		return this.statesByName.remove(name) != null;
	}

	/**
	 * Returns the known orders.
	 * @return orders by name
	 */
	public Collection<RolloutState> all() {
		return List.copyOf(this.statesByName.values());
	}

	/**
	 * Returns the order for a service. If several entries name it, the first by name
	 * counts, and servers of the other versions get nothing.
	 * @param service name of the service
	 * @return the order
	 */
	public Optional<RolloutState> find(String service) {
		return this.statesByName.values()
			.stream()
			.filter((state) -> state.rollout().service().equals(service))
			.findFirst();
	}

	/**
	 * Returns the established version of a service: the target of its last completed
	 * rollout, or else the version of the servers that were there first.
	 * @param service name of the service
	 * @return the version, empty if the service has no server with such a version
	 */
	public Optional<String> establishedVersion(String service) {
		List<ServerRegistration> servers = this.usableServers.apply(service);
		Optional<String> known = Optional.ofNullable(this.completedVersions.get(service))
			.filter((version) -> hasServer(servers, version))
			.or(() -> Optional.ofNullable(this.firstVersions.get(service))
				.filter((version) -> hasServer(servers, version)));
		if (known.isPresent()) {
			return known;
		}
		Optional<String> first = servers.stream()
			.filter((server) -> !isUnestablishedTarget(server))
			.min(Comparator.comparingLong(ServerRegistration::startedAtEpochMillis)
				.thenComparing(ServerRegistration::id))
			.map(ServerRegistration::version);
		first.ifPresent((version) -> this.firstVersions.put(service, version));
		return first;
	}

	private boolean isUnestablishedTarget(ServerRegistration server) {
		return this.statesByName.values()
			.stream()
			.filter((state) -> state.rollout().service().equals(server.service()))
			.anyMatch((state) -> state.stage() != RolloutStage.COMPLETED && state.isTarget(server.version()));
	}

	private static boolean hasServer(List<ServerRegistration> servers, String version) {
		return servers.stream().anyMatch((server) -> server.version().equals(version));
	}

	/**
	 * Returns whether a server of the new version is one of the few that get the requests
	 * of the test. They are so few that each has about the usual load.
	 * @param state the order
	 * @param server the server
	 * @return {@code false} if it gets nothing during the test
	 */
	boolean isTestServer(RolloutState state, ServerRegistration server) {
		List<ServerRegistration> candidates = this.usableServers.apply(state.rollout().service())
			.stream()
			.filter((candidate) -> state.isTarget(candidate.version()))
			.toList();
		long count = Math.max(1,
				(long) (candidates.size() * RolloutSchedule.TEST_BUDGET_FRACTION * this.bounds.exposureShare()));
		return candidates.stream()
			.sorted(Comparator
				.comparingLong((candidate) -> RendezvousHash.score(state.rollout().name(), candidate.id())))
			.limit(count)
			.anyMatch((candidate) -> candidate.id().equals(server.id()));
	}

}
