package org.skylarkspring.gateway.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.policy.PlacementCandidate;
import org.skylarkspring.gateway.policy.PlacementCostFunction;

/**
 * Chooses servers for requests and for copies of generations.
 */
final class ServerSelector {

	/** A cold server's rate holds for all instances; each keeps to its share. */
	private static final int MINIMUM_SHARING_INSTANCES = 1;

	/** Copies between data centres take twice as long. */
	private static final double CROSS_DATA_CENTRE_COST = 0.35;

	/** Load of about one generation. */
	private static final double TARGET_COST_JITTER = 0.15;

	private final ServerTable serverTable;

	private final PeerTable peers;

	private final PlacementCostFunction placementCost;

	private final GatewayContext context;

	private final DataCentreReachabilityTracker reachability;

	private Set<String> evacuatedDataCentres = Set.of();

	ServerSelector(GatewayContext context, ServerTable serverTable, PeerTable peers,
			DataCentreReachabilityTracker reachability, PlacementCostFunction placementCost) {
		this.context = context;
		this.serverTable = serverTable;
		this.peers = peers;
		this.reachability = reachability;
		this.placementCost = placementCost;
	}

	void setEvacuatedDataCentres(Set<String> dataCentres) {
		this.evacuatedDataCentres = Set.copyOf(dataCentres);
	}

	boolean isEvacuated(String dataCentre) {
		return this.evacuatedDataCentres.contains(dataCentre);
	}

	/**
	 * Chooses a server and takes the request from its cold share if it is cold.
	 * @param service service of the request
	 * @param tokens memory the request will need
	 * @param excluded servers that were tried
	 * @return the server, empty if none may get the request now
	 */
	Optional<ServerEntry> selectServer(ServiceSpec service, long tokens, Set<String> excluded) {
		long now = this.context.scheduler.nowMillis();
		List<ServerEntry> ranked = rankServers(service, tokens, (entry) -> !excluded.contains(entry.registration.id()));
		return ranked.stream().filter((entry) -> tryAcquireColdPermit(service, entry, now)).findFirst();
	}

	/**
	 * Chooses a server for the copy of a generation.
	 * @param service service of the generation
	 * @param tokens memory the generation will need
	 * @param source server that runs the generation
	 * @param excluded servers that refused the copy
	 * @return the server, empty if none has room
	 */
	Optional<ServerEntry> selectMigrationTarget(ServiceSpec service, long tokens, ServerEntry source,
			Set<String> excluded) {
		long now = this.context.scheduler.nowMillis();
		return eligibleServers(service, (entry) -> entry != source && !excluded.contains(entry.registration.id()))
			.filter((entry) -> !entry.isEjected(now))
			.map((entry) -> new RankedServer(entry, migrationTargetCost(service, entry, tokens, source, now)))
			.sorted(Comparator.comparingDouble(RankedServer::cost))
			.map(RankedServer::server)
			.filter((entry) -> tryAcquireColdPermit(service, entry, now))
			.findFirst();
	}

	// Many instances look for targets at the same moment with the same knowledge; the
	// random part keeps them from all choosing the same.
	private double migrationTargetCost(ServiceSpec service, ServerEntry entry, long tokens, ServerEntry source,
			long now) {
		boolean longWay = !entry.registration.dataCentre().equals(source.registration.dataCentre());
		return this.placementCost.cost(toCandidate(service, entry, now), tokens)
				+ (longWay ? CROSS_DATA_CENTRE_COST : 0)
				+ TARGET_COST_JITTER * ThreadLocalRandom.current().nextDouble();
	}

	private List<ServerEntry> rankServers(ServiceSpec service, long tokens, Predicate<ServerEntry> allowed) {
		long now = this.context.scheduler.nowMillis();
		return eligibleServers(service, allowed)
			.map((entry) -> new RankedServer(entry, this.placementCost.cost(toCandidate(service, entry, now), tokens)))
			.sorted(Comparator.comparingDouble(RankedServer::cost))
			.map(RankedServer::server)
			.toList();
	}

	private Stream<ServerEntry> eligibleServers(ServiceSpec service, Predicate<ServerEntry> allowed) {
		return this.serverTable.findByService(service.name())
			.stream()
			.filter(ServerEntry::acceptsRequests)
			.filter((entry) -> !isEvacuated(entry.registration.dataCentre()))
			.filter(allowed);
	}

	private boolean tryAcquireColdPermit(ServiceSpec service, ServerEntry entry, long now) {
		boolean cold = now < entry.coldUntilMillis && service.coldRequestsPerSecond() > 0;
		if (!cold) {
			return true;
		}
		int sharers = this.peers.coldServerSharerCount(entry.registration.id(), service.coldRequestsPerSecond());
		return sharers > 0 && entry.coldLimit.tryAcquire(now, service.coldRequestsPerSecond(),
				Math.max(MINIMUM_SHARING_INSTANCES, sharers));
	}

	private PlacementCandidate toCandidate(ServiceSpec service, ServerEntry entry, long now) {
		long memory = service.engine().map(EngineSpec::kvCapacityTokens).orElse(0L);
		return new PlacementCandidate(entry.registration.id(),
				entry.registration.dataCentre().equals(this.context.settings.dataCentre()),
				entry.attempts.size() + entry.peerRunningRequests, entry.registration.slots(),
				entry.reservedTokens + entry.peerReservedTokens,
				entry.pendingPrefillTokens + entry.peerPendingPrefillTokens, memory, entry.failureRate,
				entry.isEjected(now), this.reachability.isUnreachable(entry.registration.dataCentre(), now));
	}

	private record RankedServer(ServerEntry server, double cost) {
	}

}
