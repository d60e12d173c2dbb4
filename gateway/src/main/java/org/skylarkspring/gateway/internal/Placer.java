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
import org.skylarkspring.gateway.policy.Candidate;
import org.skylarkspring.gateway.policy.PlacementCost;

/**
 * Chooses servers for requests and for copies of generations.
 */
final class Placer {

	/** A cold server's rate holds for all instances; each keeps to its share. */
	private static final int SELF = 1;

	/** Copies between data centres take twice as long. */
	private static final double SLOW_LINK = 0.35;

	/** Load of about one generation. */
	private static final double TARGET_SPREAD = 0.15;

	private final ServerTable table;

	private final PeerTable peers;

	private final PlacementCost cost;

	private final GatewayContext context;

	private final DataCentreReach reach;

	private Set<String> closedDataCentres = Set.of();

	Placer(GatewayContext context, ServerTable table, PeerTable peers, DataCentreReach reach, PlacementCost cost) {
		this.context = context;
		this.table = table;
		this.peers = peers;
		this.reach = reach;
		this.cost = cost;
	}

	void closeDataCentres(Set<String> dataCentres) {
		this.closedDataCentres = Set.copyOf(dataCentres);
	}

	boolean closed(String dataCentre) {
		return this.closedDataCentres.contains(dataCentre);
	}

	/**
	 * Chooses a server and takes the request from its cold share if it is cold.
	 * @param service service of the request
	 * @param tokens memory the request will need
	 * @param excluded servers that were tried
	 * @return the server, empty if none may get the request now
	 */
	Optional<ServerEntry> choose(ServiceSpec service, long tokens, Set<String> excluded) {
		long now = this.context.time.nowMillis();
		List<ServerEntry> ranked = ranked(service, tokens, (entry) -> !excluded.contains(entry.listing.id()));
		return ranked.stream().filter((entry) -> bears(service, entry, now)).findFirst();
	}

	/**
	 * Chooses a server for the copy of a generation.
	 * @param service service of the generation
	 * @param tokens memory the generation will need
	 * @param source server that runs the generation
	 * @param excluded servers that refused the copy
	 * @return the server, empty if none has room
	 */
	Optional<ServerEntry> chooseTarget(ServiceSpec service, long tokens, ServerEntry source, Set<String> excluded) {
		long now = this.context.time.nowMillis();
		return allowed(service, (entry) -> entry != source && !excluded.contains(entry.listing.id()))
			.filter((entry) -> !entry.suspended(now))
			.map((entry) -> new Ranked(entry, targetCost(service, entry, tokens, source, now)))
			.sorted(Comparator.comparingDouble(Ranked::cost))
			.map(Ranked::entry)
			.filter((entry) -> bears(service, entry, now))
			.findFirst();
	}

	// Many instances look for targets at the same moment with the same knowledge; the
	// random part keeps them from all choosing the same.
	private double targetCost(ServiceSpec service, ServerEntry entry, long tokens, ServerEntry source, long now) {
		boolean longWay = !entry.listing.dataCentre().equals(source.listing.dataCentre());
		return this.cost.cost(candidate(service, entry, now), tokens) + (longWay ? SLOW_LINK : 0)
				+ TARGET_SPREAD * ThreadLocalRandom.current().nextDouble();
	}

	private List<ServerEntry> ranked(ServiceSpec service, long tokens, Predicate<ServerEntry> allowed) {
		long now = this.context.time.nowMillis();
		return allowed(service, allowed)
			.map((entry) -> new Ranked(entry, this.cost.cost(candidate(service, entry, now), tokens)))
			.sorted(Comparator.comparingDouble(Ranked::cost))
			.map(Ranked::entry)
			.toList();
	}

	private Stream<ServerEntry> allowed(ServiceSpec service, Predicate<ServerEntry> allowed) {
		return this.table.ofService(service.name())
			.stream()
			.filter(ServerEntry::mayReceive)
			.filter((entry) -> !closed(entry.listing.dataCentre()))
			.filter(allowed);
	}

	private boolean bears(ServiceSpec service, ServerEntry entry, long now) {
		boolean cold = now < entry.coldUntilMillis && service.coldRequestsPerSecond() > 0;
		if (!cold) {
			return true;
		}
		int sharers = this.peers.sharers(entry.listing.id(), service.coldRequestsPerSecond());
		return sharers > 0 && entry.coldLimit.tryTake(now, service.coldRequestsPerSecond(), Math.max(SELF, sharers));
	}

	private Candidate candidate(ServiceSpec service, ServerEntry entry, long now) {
		long memory = service.engine().map(EngineSpec::memoryTokens).orElse(0L);
		return new Candidate(entry.listing.id(), entry.listing.dataCentre().equals(this.context.settings.dataCentre()),
				entry.attempts.size() + entry.peerRunning, entry.listing.slots(),
				entry.promisedTokens + entry.peerTokens, entry.unreadTokens + entry.peerUnreadTokens, memory,
				entry.failureRate, entry.suspended(now), this.reach.unreached(entry.listing.dataCentre(), now));
	}

	private record Ranked(ServerEntry entry, double cost) {
	}

}
