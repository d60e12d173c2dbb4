package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.skylarkspring.core.config.DataCentrePolicy;
import org.skylarkspring.core.hash.RendezvousHash;
import org.skylarkspring.core.model.Directive;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;

/**
 * Follows the platform's list of instances and the operators' directives, and selects the
 * servers that this instance uses: those of its own data centre first, then those of its
 * region, in an order of its own so that instances spread over the servers.
 */
final class MembershipSystem {

	/** Servers of one pool that one instance uses and polls. */
	private static final int SELECTED_SERVERS_PER_POOL = 16;

	/** Fraction of the known backend servers below which a list is not believed. */
	private static final double PLAUSIBLE_LIST_FRACTION = 0.25;

	private final CoreContext context;

	private final Period period = new Period(1_000);

	private final Set<String> selected = new HashSet<>();

	private Map<String, String> regions = Map.of();

	private Map<String, Long> instancesByDataCentre = Map.of();

	MembershipSystem(CoreContext context) {
		this.context = context;
	}

	void listed(List<InstanceRecord> instances) {
		List<InstanceRecord> backends = instances.stream().filter((row) -> row.role() == InstanceRole.BACKEND).toList();
		if (!plausible(backends)) {
			this.context.count("instance_lists_ignored");
			return;
		}
		this.context.entryInstances = instances.stream().filter((row) -> row.role() == InstanceRole.ENTRY).toList();
		this.instancesByDataCentre = this.context.entryInstances.stream()
			.collect(Collectors.groupingBy(InstanceRecord::dataCentre, Collectors.counting()));
		Set<String> names = new HashSet<>();
		backends.forEach((row) -> {
			names.add(row.instanceId());
			apply(row);
		});
		this.context.servers.all()
			.stream()
			.filter((server) -> server.listed && !names.contains(server.serverId))
			.forEach(this::unlist);
		select();
	}

	/** Regions may have changed. */
	void configured() {
		this.regions = this.context.configuration()
			.stream()
			.flatMap((configuration) -> configuration.dataCentres().stream())
			.collect(Collectors.toMap(DataCentrePolicy::name, DataCentrePolicy::region, (first, second) -> first));
		select();
	}

	void offered(List<Directive> directives) {
		List<Directive> newer = directives.stream().filter(this.context.directives::merge).toList();
		newer.forEach((directive) -> this.context.changed(directive.targetKind() + " " + directive.target(),
				directive.drained() ? "drained" : "restored"));
		if (!newer.isEmpty()) {
			this.context.servers.all().forEach(this::applyDirectives);
			select();
		}
	}

	void tick() {
		if (this.period.due(this.context.nowMillis)) {
			forgetServersWithoutWork();
		}
	}

	/**
	 * Returns how many entry instances are expected to use a server: all of them if the
	 * pool is small enough for each to use all of its servers, otherwise those of the
	 * server's data centre.
	 * @param server the server
	 * @return number of instances, at least 1
	 */
	int sharers(ServerEntry server) {
		boolean small = this.context.servers.pool(server.listing.pool()).size() <= SELECTED_SERVERS_PER_POOL;
		int near = this.instancesByDataCentre.getOrDefault(server.listing.dataCentre(), 0L).intValue();
		return Math.max(1, small ? this.context.entryInstances.size() : near);
	}

	List<ServerEntry> selected() {
		return this.context.servers.all()
			.stream()
			.filter((server) -> this.selected.contains(server.serverId) || !server.attempts.isEmpty())
			.toList();
	}

	private boolean plausible(List<InstanceRecord> backends) {
		long known = this.context.servers.all().stream().filter((server) -> server.listed).count();
		return backends.size() >= known * PLAUSIBLE_LIST_FRACTION;
	}

	private void apply(InstanceRecord row) {
		ServerEntry server = this.context.servers.addIfAbsent(row);
		boolean wasLeaving = server.leaving();
		server.listing = row;
		server.listed = true;
		applyDirectives(server);
		if (!wasLeaving && server.leaving()) {
			this.context.changed("server " + server.serverId, "leaving");
		}
	}

	private void applyDirectives(ServerEntry server) {
		server.drained = this.context.directives.drained(server);
	}

	private void unlist(ServerEntry server) {
		server.listed = false;
		this.context.changed("server " + server.serverId, "no longer listed");
	}

	private void forgetServersWithoutWork() {
		List<ServerEntry> gone = this.context.servers.all()
			.stream()
			.filter((server) -> !server.listed && server.attempts.isEmpty())
			.toList();
		gone.forEach(this.context.servers::remove);
	}

	private void select() {
		this.selected.clear();
		this.context.servers.all()
			.stream()
			.map((server) -> server.listing.pool())
			.distinct()
			.toList()
			.forEach(this::selectOfPool);
	}

	private void selectOfPool(String pool) {
		this.context.servers.pool(pool)
			.stream()
			.filter(ServerEntry::inService)
			.sorted(Comparator.comparingInt(this::distance).thenComparingLong(this::spread))
			.limit(SELECTED_SERVERS_PER_POOL)
			.forEach((server) -> this.selected.add(server.serverId));
	}

	private int distance(ServerEntry server) {
		if (server.listing.dataCentre().equals(this.context.dataCentre)) {
			return 0;
		}
		return region(server.listing.dataCentre()).equals(region(this.context.dataCentre)) ? 1 : 2;
	}

	private String region(String dataCentre) {
		return this.regions.getOrDefault(dataCentre, "");
	}

	private long spread(ServerEntry server) {
		return RendezvousHash.score(server.serverId, this.context.instanceId);
	}

}
