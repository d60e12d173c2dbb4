package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.skylarkspring.core.config.DataCentreConfiguration;
import org.skylarkspring.core.hash.RendezvousHash;
import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;

/**
 * Maintains the server table from the platform's instance list and the operators' drain
 * directives, and selects the servers that this instance uses: those of its own data
 * centre first, then those of its region, then all others. The order within each group
 * depends on the instance, so that instances spread over the servers.
 */
final class MembershipSystem {

	/** Maximum servers of one pool that one instance uses and polls. */
	private static final int SELECTED_SERVERS_PER_POOL = 16;

	/**
	 * An instance list that contains less than this fraction of the known backend servers
	 * is ignored as implausible.
	 */
	private static final double MINIMUM_PLAUSIBLE_LIST_FRACTION = 0.25;

	private final CoreContext context;

	private final PeriodicTrigger trigger = new PeriodicTrigger(1_000);

	private final Set<String> selectedServerIds = new HashSet<>();

	private Map<String, String> regionByDataCentre = Map.of();

	private Map<String, Long> instanceCountByDataCentre = Map.of();

	MembershipSystem(CoreContext context) {
		this.context = context;
	}

	void onInstancesListed(List<InstanceRecord> instances) {
		List<InstanceRecord> backendServers = instances.stream()
			.filter((instance) -> instance.role() == InstanceRole.BACKEND)
			.toList();
		if (!isPlausible(backendServers)) {
			this.context.incrementCounter("instance_lists_ignored");
			return;
		}
		this.context.entryInstances = instances.stream()
			.filter((instance) -> instance.role() == InstanceRole.ENTRY)
			.toList();
		this.instanceCountByDataCentre = this.context.entryInstances.stream()
			.collect(Collectors.groupingBy(InstanceRecord::dataCentre, Collectors.counting()));
		Set<String> listedIds = new HashSet<>();
		backendServers.forEach((instance) -> {
			listedIds.add(instance.instanceId());
			applyListedInstance(instance);
		});
		this.context.servers.all()
			.stream()
			.filter((server) -> server.listed && !listedIds.contains(server.serverId))
			.forEach(this::markUnlisted);
		selectServers();
	}

	/** Updates the regions of the data centres and selects the servers again. */
	void onConfigurationChanged() {
		this.regionByDataCentre = this.context.configuration()
			.stream()
			.flatMap((configuration) -> configuration.dataCentres().stream())
			.collect(Collectors.toMap(DataCentreConfiguration::name, DataCentreConfiguration::region,
					(first, second) -> first));
		selectServers();
	}

	void onDrainDirectivesReceived(List<DrainDirective> directives) {
		List<DrainDirective> newDirectives = directives.stream().filter(this.context.drainDirectives::merge).toList();
		newDirectives
			.forEach((directive) -> this.context.emitStateChange(directive.targetKind() + " " + directive.target(),
					directive.drained() ? "drained" : "restored"));
		if (!newDirectives.isEmpty()) {
			this.context.servers.all().forEach(this::applyDirectives);
			selectServers();
		}
	}

	void tick() {
		if (this.trigger.fireIfDue(this.context.nowMillis)) {
			removeIdleUnlistedServers();
		}
	}

	/**
	 * Returns the number of entry instances that are expected to use a server: all of
	 * them if the pool is small enough for each instance to use all of its servers,
	 * otherwise those in the server's data centre.
	 * @param server the server
	 * @return number of instances, at least 1
	 */
	int countSharingInstances(ServerEntry server) {
		boolean smallPool = this.context.servers.serversOfPool(server.instanceRecord.pool())
			.size() <= SELECTED_SERVERS_PER_POOL;
		int instancesInDataCentre = this.instanceCountByDataCentre.getOrDefault(server.instanceRecord.dataCentre(), 0L)
			.intValue();
		return Math.max(1, smallPool ? this.context.entryInstances.size() : instancesInDataCentre);
	}

	List<ServerEntry> selectedServers() {
		return this.context.servers.all()
			.stream()
			.filter((server) -> this.selectedServerIds.contains(server.serverId) || !server.attempts.isEmpty())
			.toList();
	}

	private boolean isPlausible(List<InstanceRecord> backendServers) {
		long known = this.context.servers.all().stream().filter((server) -> server.listed).count();
		return backendServers.size() >= known * MINIMUM_PLAUSIBLE_LIST_FRACTION;
	}

	private void applyListedInstance(InstanceRecord instance) {
		ServerEntry server = this.context.servers.addIfAbsent(instance);
		boolean wasLeaving = server.isLeaving();
		server.instanceRecord = instance;
		server.listed = true;
		applyDirectives(server);
		if (!wasLeaving && server.isLeaving()) {
			this.context.emitStateChange("server " + server.serverId, "leaving");
		}
	}

	private void applyDirectives(ServerEntry server) {
		server.drained = this.context.drainDirectives.isDrained(server);
	}

	private void markUnlisted(ServerEntry server) {
		server.listed = false;
		this.context.emitStateChange("server " + server.serverId, "removed from the platform's instance list");
	}

	private void removeIdleUnlistedServers() {
		List<ServerEntry> idleUnlisted = this.context.servers.all()
			.stream()
			.filter((server) -> !server.listed && server.attempts.isEmpty())
			.toList();
		idleUnlisted.forEach(this.context.servers::remove);
	}

	private void selectServers() {
		this.selectedServerIds.clear();
		this.context.servers.all()
			.stream()
			.map((server) -> server.instanceRecord.pool())
			.distinct()
			.toList()
			.forEach(this::selectServersOfPool);
	}

	private void selectServersOfPool(String pool) {
		this.context.servers.serversOfPool(pool)
			.stream()
			.filter(ServerEntry::isInService)
			.sorted(Comparator.comparingInt(this::proximityRank).thenComparingLong(this::hashScore))
			.limit(SELECTED_SERVERS_PER_POOL)
			.forEach((server) -> this.selectedServerIds.add(server.serverId));
	}

	private int proximityRank(ServerEntry server) {
		if (server.instanceRecord.dataCentre().equals(this.context.dataCentre)) {
			return 0;
		}
		return regionOf(server.instanceRecord.dataCentre()).equals(regionOf(this.context.dataCentre)) ? 1 : 2;
	}

	private String regionOf(String dataCentre) {
		return this.regionByDataCentre.getOrDefault(dataCentre, "");
	}

	private long hashScore(ServerEntry server) {
		return RendezvousHash.score(server.serverId, this.context.instanceId);
	}

}
