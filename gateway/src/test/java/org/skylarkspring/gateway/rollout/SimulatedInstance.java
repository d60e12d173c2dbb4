package org.skylarkspring.gateway.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.RequestSemantics;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.model.WeightedService;
import org.skylarkspring.gateway.placement.PlacementRequest;
import org.skylarkspring.gateway.placement.ServerUse;

/**
 * Instance whose parts for rollouts are the real ones, with simulated time, store and
 * servers.
 */
final class SimulatedInstance {

	static final RolloutBounds BOUNDS = new RolloutBounds(0.1, 50, 5_000, 4_000);

	static final String SERVICE = "s";

	private static final int SERVERS_PER_VERSION = 6;

	private static final ServiceSpec SERVICE_SPEC = new ServiceSpec(SERVICE, 0, Optional.<EngineSpec>empty());

	private static final RouteSpec ROUTE = new RouteSpec("r", "h", "/", RequestSemantics.AT_MOST_ONCE, 1_000, 100, 0, 0,
			List.of(new WeightedService(SERVICE, 1)), 1, false);

	private static final PlacementRequest REQUEST = new PlacementRequest(SERVICE_SPEC, ROUTE, 0, 0, 0, 1_000);

	private static final List<ServerRegistration> SERVERS = IntStream.range(0, 2 * SERVERS_PER_VERSION)
		.mapToObj((number) -> server(2 * SERVERS_PER_VERSION - number, (number < SERVERS_PER_VERSION) ? "v1" : "v2"))
		.toList();

	final RolloutTable table;

	final RolloutDecider decider;

	final int rank;

	private final RolloutGate gate;

	/** Time until which the instance is cut off from the store and the others. */
	long cutOffUntilMillis;

	SimulatedInstance(int rank, int instanceCount, long nowMillis) {
		this.rank = rank;
		int owners = Math.min(7, instanceCount);
		this.table = new RolloutTable(BOUNDS, (service) -> SERVERS,
				(name) -> (rank < owners) ? Math.floor(35.0 / owners) : 0, new Random(rank + nowMillis));
		this.gate = new RolloutGate(this.table);
		this.decider = new RolloutDecider("i-" + rank);
		this.cutOffUntilMillis = nowMillis;
	}

	static ServerRegistration server(int number, String version) {
		return new ServerRegistration("server-" + number, SERVICE, "10.0.0.1:80", "dc", 6, false, 0, 100 - number,
				version);
	}

	static ServerUse use(ServerRegistration server) {
		return new ServerUse(server, REQUEST, Optional.empty());
	}

	/**
	 * Places a request as the selector does.
	 * @param nowMillis current time in milliseconds
	 * @return whether it goes to the new version, empty if no server may be used
	 */
	Optional<Boolean> place(long nowMillis) {
		this.table.find(SERVICE)
			.filter((state) -> nowMillis < state.schedule().limitMillis())
			.ifPresent((state) -> state.budget().recordRequest());
		List<ServerRegistration> allowed = SERVERS.stream()
			.filter((server) -> this.gate.findObjection(use(server), nowMillis).isEmpty())
			.sorted(Comparator.comparing((ServerRegistration server) -> !this.gate.isPreferred(use(server), nowMillis)))
			.toList();
		return allowed.stream()
			.filter((server) -> this.gate.tryAcquire(use(server), nowMillis))
			.findFirst()
			.map((server) -> server.version().equals("v2"));
	}

	/**
	 * Records the outcome of a placed request.
	 * @param newVersion whether it went to the new version
	 * @param failed whether it failed
	 * @param nowMillis current time in milliseconds
	 */
	void recordOutcome(boolean newVersion, boolean failed, long nowMillis) {
		this.table.find(SERVICE)
			.ifPresent((state) -> state.recordOutcome("r", newVersion ? "v2" : "v1", failed, List.of(50.0), nowMillis));
	}

	/**
	 * Decides.
	 * @param runningOnOldServers number of requests that run on old servers
	 * @param nowMillis current time in milliseconds
	 * @return status to write
	 */
	Optional<RolloutStatus> decide(long runningOnOldServers, long nowMillis) {
		return this.table.find(SERVICE).flatMap((state) -> {
			state.findOwnFault().ifPresent(state::stopLocally);
			return this.decider.decide(state, new RolloutDecider.Situation(this.rank, this.table.isFresh(nowMillis),
					runningOnOldServers, nowMillis, nowMillis));
		});
	}

	Stream<VersionOutcomes> report(long nowMillis) {
		return this.table.find(SERVICE).stream().flatMap((state) -> state.evidence().toReport(nowMillis).stream());
	}

	void applyPeers(List<VersionOutcomes> sums, long nowMillis) {
		this.table.find(SERVICE).ifPresent((state) -> state.evidence().applyPeers(sums, nowMillis));
	}

	boolean isCutOff(long nowMillis) {
		return nowMillis < this.cutOffUntilMillis;
	}

	static int poisson(Random random, double mean) {
		double limit = Math.exp(-mean);
		double product = random.nextDouble();
		int count = 0;
		while (product > limit) {
			product *= random.nextDouble();
			count++;
		}
		return count;
	}

}
