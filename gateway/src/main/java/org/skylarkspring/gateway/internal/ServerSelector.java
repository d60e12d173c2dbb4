package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.skylarkspring.gateway.admission.ServiceRoom;
import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.pace.ServicePaces;
import org.skylarkspring.gateway.placement.DataCentreFlow;
import org.skylarkspring.gateway.placement.DataCentreReachabilityTracker;
import org.skylarkspring.gateway.placement.DataCentreTraffic;
import org.skylarkspring.gateway.placement.PlacementCandidate;
import org.skylarkspring.gateway.placement.PlacementCostFunction;
import org.skylarkspring.gateway.placement.PlacementRequest;
import org.skylarkspring.gateway.placement.RemoteDataCentreState;
import org.skylarkspring.gateway.placement.ServerGate;
import org.skylarkspring.gateway.placement.ServerUse;
import org.skylarkspring.gateway.placement.ServiceConditions;

/**
 * Selects servers for requests and for copies of generations.
 */
final class ServerSelector {

	/**
	 * Lower bound of the number of instances that share the rate limit of a cold server.
	 */
	private static final int MINIMUM_SHARING_INSTANCES = 1;

	/**
	 * Added cost of a target in another data centre, because such copies take twice as
	 * long.
	 */
	private static final double CROSS_DATA_CENTRE_COST = 0.35;

	/** Share of a server's KV cache up to which it receives backups. */
	private static final double MAXIMUM_BACKUP_UTILIZATION = 0.5;

	/** Upper bound of the random part of the cost, about the load of one generation. */
	private static final double TARGET_COST_JITTER = 0.15;

	/**
	 * Difference of cost below which servers are chosen at random, so that instances with
	 * the same data do not all choose the same one.
	 */
	private static final double NEAR_EQUAL_COST = 0.06;

	private final ServerTable serverTable;

	private final PeerTable peers;

	private final ServerRateLimits rateLimits;

	private final PlacementCostFunction placementCost;

	private final GatewayContext context;

	private final DataCentreReachabilityTracker reachability;

	private final DataCentreTraffic traffic = new DataCentreTraffic(this::ownFlows);

	private final List<ServerGate> gates = new ArrayList<>();

	private Set<String> evacuatedDataCentres = Set.of();

	ServerSelector(GatewayContext context, ServerTable serverTable, PeerTable peers, ServerRateLimits rateLimits,
			DataCentreReachabilityTracker reachability, PlacementCostFunction placementCost) {
		this.context = context;
		this.serverTable = serverTable;
		this.peers = peers;
		this.rateLimits = rateLimits;
		this.reachability = reachability;
		this.placementCost = placementCost;
	}

	/**
	 * Adds a condition that servers must meet to be used.
	 * @param gate the condition
	 */
	void addGate(ServerGate gate) {
		this.gates.add(gate);
	}

	void setEvacuatedDataCentres(Set<String> dataCentres) {
		this.evacuatedDataCentres = Set.copyOf(dataCentres);
	}

	boolean isEvacuated(String dataCentre) {
		return this.evacuatedDataCentres.contains(dataCentre);
	}

	/**
	 * Selects a server for a request. If the server is cold or names a rate limit, a
	 * permit is taken from this instance's share of the rate, which applies to all
	 * instances together.
	 * @param request the request
	 * @param excluded ids of the servers already tried
	 * @return the server, empty if none can accept the request now
	 */
	Optional<ServerEntry> selectServer(PlacementRequest request, Set<String> excluded) {
		long now = this.context.scheduler.nowMillis();
		return selectPreferred(request, Optional.empty(),
				(preferred) -> rankServers(request,
						(entry) -> preferred.test(entry) && !excluded.contains(entry.registration.id()))
					.stream()
					.filter((entry) -> tryAcquirePermits(toUse(request, entry, Optional.empty()), entry, now))
					.findFirst());
	}

	// Servers to which there is an objection of a preference are used last. Servers that
	// have failed recently are not preferred to them.
	private Optional<ServerEntry> selectPreferred(PlacementRequest request, Optional<ServerEntry> source,
			Function<Predicate<ServerEntry>, Optional<ServerEntry>> selection) {
		long now = this.context.scheduler.nowMillis();
		Predicate<ServerEntry> acceptable = (entry) -> isAllowed(toUse(request, entry, source), now,
				ServerGate::isAdvisory);
		Predicate<ServerEntry> any = (entry) -> true;
		if (usableServers(request.service()).allMatch(acceptable)) {
			return selection.apply(any);
		}
		return selection.apply((entry) -> acceptable.test(entry) && !entry.isEjected(now))
			.or(() -> selection.apply(any));
	}

	/**
	 * Selects a server for a request that may run more than once, in the same way. A
	 * server that was tried before is preferred only to one that is ejected.
	 * @param request the request
	 * @param tried ids of the servers already tried
	 * @return the server, empty if none can accept the request now
	 */
	Optional<ServerEntry> selectServerForRetry(PlacementRequest request, Set<String> tried) {
		long now = this.context.scheduler.nowMillis();
		Comparator<ServerEntry> ejectedLast = Comparator.comparing((entry) -> entry.isEjected(now));
		return selectPreferred(request, Optional.empty(),
				(preferred) -> rankServers(request, preferred).stream()
					.sorted(ejectedLast.thenComparing((entry) -> tried.contains(entry.registration.id())))
					.filter((entry) -> tryAcquirePermits(toUse(request, entry, Optional.empty()), entry, now))
					.findFirst());
	}

	/**
	 * Returns the time until a server may accept a request that it does not accept now
	 * because of its rate limit or because it wants no requests for a while.
	 * @param service service of the request
	 * @return the time in milliseconds, empty if there is no such server
	 */
	OptionalLong millisUntilAccepted(ServiceSpec service) {
		long now = this.context.scheduler.nowMillis();
		return usableServers(service)
			.mapToLong((entry) -> Math.max(entry.backoffMillis(now), this.rateLimits.millisUntilPermit(entry)))
			.filter((millis) -> millis > 0)
			.min();
	}

	/**
	 * Returns the capacity and the load of the servers that a request may be sent to now.
	 * Takes no permit.
	 * @param request the request
	 * @return the capacity and the load
	 */
	ServiceRoom findRoom(PlacementRequest request) {
		long now = this.context.scheduler.nowMillis();
		long capacityTokens = request.service().engine().map(EngineSpec::kvCapacityTokens).orElse(0L);
		List<ServiceRoom.ServerRoom> servers = eligibleServers(request, Optional.empty(), (entry) -> true)
			.filter((entry) -> !entry.isEjected(now)
					&& !this.reachability.isUnreachable(entry.registration.dataCentre(), now))
			.map((entry) -> new ServiceRoom.ServerRoom(entry.registration.id(), entry.registration.slots(),
					entry.attempts.size(), entry.peerRunningRequests, capacityTokens, entry.reservedTokens,
					entry.peerReservedTokens))
			.toList();
		List<ServerEntry> usable = usableServers(request.service()).toList();
		return new ServiceRoom(servers,
				usable.stream().mapToInt((entry) -> entry.attempts.size() + entry.peerRunningRequests).sum(),
				usable.stream().mapToInt((entry) -> entry.registration.slots()).sum());
	}

	/**
	 * Selects a server for the copy of a generation.
	 * @param request request of the generation
	 * @param source server that runs the generation
	 * @param excluded ids of the servers that rejected the copy
	 * @return the server, empty if none is eligible
	 */
	Optional<ServerEntry> selectMigrationTarget(PlacementRequest request, ServerEntry source, Set<String> excluded) {
		long now = this.context.scheduler.nowMillis();
		ServiceConditions conditions = findConditions(request.service(), now);
		return selectPreferred(request, Optional.of(source),
				(preferred) -> eligibleServers(request, Optional.of(source),
						(entry) -> entry != source && preferred.test(entry)
								&& !excluded.contains(entry.registration.id()))
					.filter((entry) -> !entry.isEjected(now))
					.map((entry) -> new RankedServer(entry,
							migrationTargetCost(request, entry, source, conditions, now)))
					.sorted(Comparator.comparingDouble(RankedServer::cost))
					.map(RankedServer::server)
					.filter((entry) -> tryAcquirePermits(toUse(request, entry, Optional.of(source)), entry, now))
					.findFirst());
	}

	/**
	 * Selects a server for the backup of a generation. Backups use only memory that is
	 * free on a server with a moderate load, so that they do not displace requests.
	 * @param request request of the generation
	 * @param source server that runs the generation
	 * @return the server, empty if none is eligible
	 */
	Optional<ServerEntry> selectBackup(PlacementRequest request, ServerEntry source) {
		long now = this.context.scheduler.nowMillis();
		ServiceConditions conditions = findConditions(request.service(), now);
		long capacity = request.service().engine().map(EngineSpec::kvCapacityTokens).orElse(0L);
		return eligibleServers(request, Optional.of(source), (entry) -> entry != source)
			.filter((entry) -> !entry.isEjected(now) && now >= entry.coldUntilMillis)
			.filter((entry) -> !this.rateLimits.isLimited(entry))
			.filter((entry) -> entry.reservedTokens + entry.peerReservedTokens
					+ request.reservedTokens() <= MAXIMUM_BACKUP_UTILIZATION * capacity)
			.map((entry) -> new RankedServer(entry, migrationTargetCost(request, entry, source, conditions, now)))
			.min(Comparator.comparingDouble(RankedServer::cost))
			.map(RankedServer::server);
	}

	/**
	 * Returns whether a server that was selected earlier may receive a generation now. If
	 * the server has become cold or names a rate limit, a permit is taken as for a
	 * request.
	 * @param request request of the generation
	 * @param entry the server
	 * @param source server that runs the generation now
	 * @return {@code false} if it terminates, has restarted, failed recently, is
	 * evacuated, or has no permit left
	 */
	boolean tryUseSelected(PlacementRequest request, ServerEntry entry, ServerEntry source) {
		long now = this.context.scheduler.nowMillis();
		ServerUse use = toUse(request, entry, Optional.of(source));
		boolean current = this.serverTable.find(entry.registration.id()).filter((found) -> found == entry).isPresent();
		return current && entry.acceptsRequests() && !entry.isEjected(now) && entry.backoffMillis(now) == 0
				&& !isEvacuated(entry.registration.dataCentre()) && isAllowed(use, now, ServerSelector::isRequired)
				&& tryAcquirePermits(use, entry, now);
	}

	/**
	 * Returns whether a server that was selected for a request may still be used for it.
	 * @param request the request
	 * @param entry the server
	 * @return {@code false} if a condition is no longer met
	 */
	boolean isStillAllowed(PlacementRequest request, ServerEntry entry) {
		return this.gates.isEmpty() || isAllowed(toUse(request, entry, Optional.empty()),
				this.context.scheduler.nowMillis(), ServerSelector::isRequired);
	}

	// Many instances select targets at the same moment from the same data; the random
	// part keeps them from all selecting the same server.
	private double migrationTargetCost(PlacementRequest request, ServerEntry entry, ServerEntry source,
			ServiceConditions conditions, long now) {
		boolean crossDataCentre = !entry.registration.dataCentre().equals(source.registration.dataCentre());
		return this.placementCost.cost(toCandidate(request.service(), entry, conditions, now), request,
				conditions.paces()) + (crossDataCentre ? CROSS_DATA_CENTRE_COST : 0)
				+ TARGET_COST_JITTER * ThreadLocalRandom.current().nextDouble();
	}

	private List<ServerEntry> rankServers(PlacementRequest request, Predicate<ServerEntry> allowed) {
		long now = this.context.scheduler.nowMillis();
		ServiceConditions conditions = findConditions(request.service(), now);
		return eligibleServers(request, Optional.empty(), allowed)
			.map((entry) -> new RankedServer(entry,
					this.placementCost.cost(toCandidate(request.service(), entry, conditions, now), request,
							conditions.paces())
							+ (conditions.paces().isPresent()
									? NEAR_EQUAL_COST * ThreadLocalRandom.current().nextDouble() : 0)))
			.sorted(Comparator.comparing((RankedServer ranked) -> !isPreferred(request, ranked.server(), now))
				.thenComparingDouble(RankedServer::cost))
			.map(RankedServer::server)
			.toList();
	}

	private Map<String, RemoteDataCentreState> findRemoteDataCentres(ServiceSpec service, long now) {
		String home = this.context.settings.dataCentre();
		long serverTokens = service.engine().map(EngineSpec::kvCapacityTokens).orElse(0L);
		boolean netImporter = this.traffic.isNetImporter(service.name(), home, now);
		return usableServers(service).map((entry) -> entry.registration.dataCentre())
			.filter((dataCentre) -> !dataCentre.equals(home))
			.collect(Collectors.groupingBy((dataCentre) -> dataCentre, Collectors.counting()))
			.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey,
					(servers) -> new RemoteDataCentreState(
							this.reachability.millisSinceSuccess(servers.getKey(), now), this.traffic
								.spareTokens(service.name(), servers.getKey(), servers.getValue() * serverTokens, now),
							netImporter)));
	}

	/**
	 * Returns the exchange of the use of data centres with the other instances.
	 * @return the part that takes part in the load reports
	 */
	DataCentreTraffic traffic() {
		return this.traffic;
	}

	private List<DataCentreFlow> ownFlows() {
		long now = this.context.scheduler.nowMillis();
		return this.serverTable.all()
			.stream()
			.filter((entry) -> entry.reservedTokens > 0
					&& this.context.serverPaces.durationPercent(entry.registration.id(), now).isPresent())
			.map((entry) -> DataCentreFlow.of(entry.registration.service(), this.context.settings.dataCentre(),
					entry.registration.dataCentre(), entry.reservedTokens))
			.toList();
	}

	private ServiceConditions findConditions(ServiceSpec service, long now) {
		Optional<ServicePaces> paces = findPaces(service, now);
		return new ServiceConditions(paces, paces.isPresent() ? findRemoteDataCentres(service, now) : Map.of());
	}

	private Optional<ServicePaces> findPaces(ServiceSpec service, long now) {
		return this.context.serverPaces.ofService(this.serverTable.findByService(service.name())
			.stream()
			.map((entry) -> entry.registration.id())
			.toList(), now);
	}

	private boolean isPreferred(PlacementRequest request, ServerEntry entry, long now) {
		return !this.gates.isEmpty() && !entry.isEjected(now)
				&& entry.attempts.size() + entry.peerRunningRequests < entry.registration.slots() && this.gates.stream()
					.anyMatch((gate) -> gate.isPreferred(toUse(request, entry, Optional.empty()), now));
	}

	private Stream<ServerEntry> eligibleServers(PlacementRequest request, Optional<ServerEntry> source,
			Predicate<ServerEntry> allowed) {
		long now = this.context.scheduler.nowMillis();
		return usableServers(request.service()).filter((entry) -> entry.backoffMillis(now) == 0)
			.filter(allowed)
			.filter((entry) -> isAllowed(toUse(request, entry, source), now, ServerSelector::isRequired));
	}

	private boolean isAllowed(ServerUse use, long now, Predicate<ServerGate> kind) {
		return this.gates.stream().filter(kind).allMatch((gate) -> gate.findObjection(use, now).isEmpty());
	}

	private static boolean isRequired(ServerGate gate) {
		return !gate.isAdvisory();
	}

	private static ServerUse toUse(PlacementRequest request, ServerEntry entry, Optional<ServerEntry> source) {
		return new ServerUse(entry.registration, request, source.map((server) -> server.registration));
	}

	private Stream<ServerEntry> usableServers(ServiceSpec service) {
		return this.serverTable.findByService(service.name())
			.stream()
			.filter(ServerEntry::acceptsRequests)
			.filter((entry) -> !isEvacuated(entry.registration.dataCentre()));
	}

	private boolean tryAcquirePermits(ServerUse use, ServerEntry entry, long now) {
		// Gates come last: their permits cannot be returned if another limit refuses.
		return this.rateLimits.millisUntilPermit(entry) == 0
				&& tryAcquireColdPermit(use.request().service(), entry, now) && this.rateLimits.tryAcquire(entry)
				&& this.gates.stream().allMatch((gate) -> gate.tryAcquire(use, now));
	}

	private boolean tryAcquireColdPermit(ServiceSpec service, ServerEntry entry, long now) {
		boolean cold = now < entry.coldUntilMillis && service.coldRequestsPerSecond() > 0;
		if (!cold) {
			return true;
		}
		int sharingInstances = this.peers.coldServerSharerCount(entry.registration.id(),
				service.coldRequestsPerSecond());
		return sharingInstances > 0 && entry.coldRateLimiter.tryAcquire(now, service.coldRequestsPerSecond(),
				Math.max(MINIMUM_SHARING_INSTANCES, sharingInstances));
	}

	private PlacementCandidate toCandidate(ServiceSpec service, ServerEntry entry, ServiceConditions conditions,
			long now) {
		long memory = service.engine().map(EngineSpec::kvCapacityTokens).orElse(0L);
		return new PlacementCandidate(entry.registration.id(),
				entry.registration.dataCentre().equals(this.context.settings.dataCentre()),
				entry.attempts.size() + entry.peerRunningRequests, entry.registration.slots(),
				entry.reservedTokens + entry.peerReservedTokens,
				entry.pendingPrefillTokens + entry.peerPendingPrefillTokens, memory, entry.failureRate(now),
				entry.isEjected(now), this.reachability.isUnreachable(entry.registration.dataCentre(), now),
				Optional.ofNullable(conditions.remoteDataCentres().get(entry.registration.dataCentre())));
	}

	private record RankedServer(ServerEntry server, double cost) {
	}

}
