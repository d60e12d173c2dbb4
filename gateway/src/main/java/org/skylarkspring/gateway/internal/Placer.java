package org.skylarkspring.gateway.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

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

	private final ServerTable table;

	private final PeerTable peers;

	private final PlacementCost cost;

	private final GatewayContext context;

	private Set<String> closedDataCentres = Set.of();

	Placer(GatewayContext context, ServerTable table, PeerTable peers, PlacementCost cost) {
		this.context = context;
		this.table = table;
		this.peers = peers;
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
		return ranked(service, tokens, (entry) -> entry != source && !excluded.contains(entry.listing.id())).stream()
			.filter((entry) -> !entry.suspended(now))
			.filter((entry) -> bears(service, entry, now))
			.findFirst();
	}

	private List<ServerEntry> ranked(ServiceSpec service, long tokens, Predicate<ServerEntry> allowed) {
		long now = this.context.time.nowMillis();
		return this.table.ofService(service.name())
			.stream()
			.filter(ServerEntry::mayReceive)
			.filter((entry) -> !closed(entry.listing.dataCentre()))
			.filter(allowed)
			.sorted(Comparator.comparingDouble((entry) -> this.cost.cost(candidate(service, entry, now), tokens)))
			.toList();
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
				entry.promisedTokens + entry.peerTokens, memory, entry.failureRate, entry.suspended(now));
	}

}
