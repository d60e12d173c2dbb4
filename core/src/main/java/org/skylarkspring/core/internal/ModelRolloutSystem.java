package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.PoolConfiguration;
import org.skylarkspring.core.hash.RendezvousHash;
import org.skylarkspring.core.model.InstanceRecord;

/**
 * Updates the servers of a pool to the configured model version, a few at a time, so that
 * enough servers keep serving and the weight store is not overloaded. Only the instance
 * that holds the lease of a pool sends load commands to its servers, and each command
 * carries the fencing number of the lease. A command names the model version to load, so
 * a repeated command is harmless. If a delayed command has loaded another version, the
 * load reports show it and a new command is sent.
 */
final class ModelRolloutSystem {

	/** Instances that compete for the lease of one pool. */
	private static final int LEASE_CANDIDATES_PER_POOL = 2;

	/**
	 * Time from acquiring the lease to the first load command. Commands of the previous
	 * holder have arrived by then, so they cannot override later ones, even on engines
	 * that do not check the fencing number.
	 */
	private static final long TAKEOVER_DELAY_MILLIS = 5_000;

	/** Time after which a load command without effect is repeated. */
	private static final long LOAD_COMMAND_RETRY_MILLIS = 10_000;

	private final CoreContext context;

	private final LeaseSystem leaseSystem;

	private final PeriodicTrigger trigger = new PeriodicTrigger(500);

	private final Map<String, Long> leaseHeldSinceMillis = new HashMap<>();

	private final Map<String, Long> loadRequestedAtMillis = new HashMap<>();

	ModelRolloutSystem(CoreContext context, LeaseSystem leaseSystem) {
		this.context = context;
		this.leaseSystem = leaseSystem;
	}

	void tick() {
		if (this.trigger.fireIfDue(this.context.nowMillis)) {
			this.context.configuration()
				.map(Configuration::pools)
				.orElse(List.of())
				.stream()
				.filter((pool) -> !pool.modelVersion().isEmpty())
				.forEach(this::reconcile);
		}
	}

	private void reconcile(PoolConfiguration pool) {
		List<ServerEntry> servers = this.context.servers.serversOfPool(pool.name())
			.stream()
			.filter(this::hasReport)
			.toList();
		boolean updateNeeded = servers.stream().anyMatch((server) -> isOutdated(server, pool));
		this.leaseSystem.setWanted(leaseName(pool), updateNeeded && isLeaseCandidate(pool));
		if (!this.leaseSystem.isHeld(leaseName(pool))) {
			this.leaseHeldSinceMillis.remove(pool.name());
			return;
		}
		long heldSince = this.leaseHeldSinceMillis.computeIfAbsent(pool.name(), (name) -> this.context.nowMillis);
		if (this.context.nowMillis - heldSince >= TAKEOVER_DELAY_MILLIS) {
			loadNextServer(pool, servers);
		}
	}

	private void loadNextServer(PoolConfiguration pool, List<ServerEntry> servers) {
		long loading = servers.stream().filter((server) -> isLoading(server, pool)).count();
		long serving = servers.stream().filter((server) -> !isLoading(server, pool) && isServing(server)).count();
		boolean slotFree = loading < pool.concurrentLoads();
		Optional<ServerEntry> next = servers.stream()
			.filter((server) -> isOutdated(server, pool) && !isLoading(server, pool))
			.filter((server) -> !isServing(server) || serving > pool.minimumServers())
			.min(Comparator.comparingInt((ServerEntry server) -> isServing(server) ? 1 : 0)
				.thenComparingInt((server) -> server.attempts.size()));
		if (slotFree) {
			next.ifPresent((server) -> sendLoadCommand(pool, server));
		}
	}

	private void sendLoadCommand(PoolConfiguration pool, ServerEntry server) {
		this.loadRequestedAtMillis.put(server.serverId, this.context.nowMillis);
		this.context.incrementCounter("engine_orders");
		this.context.emit(new Action.LoadModel(server.serverId, server.instanceRecord.address(),
				this.leaseSystem.fencingNumber(leaseName(pool)), pool.modelVersion()));
	}

	private boolean hasReport(ServerEntry server) {
		return server.listed && server.lastReport != null;
	}

	private boolean isServing(ServerEntry server) {
		return server.isInService() && server.phase == WarmupPhase.WARM;
	}

	private boolean isOutdated(ServerEntry server, PoolConfiguration pool) {
		return !server.lastReport.modelVersion().equals(pool.modelVersion());
	}

	private boolean isLoading(ServerEntry server, PoolConfiguration pool) {
		Long requestedAt = this.loadRequestedAtMillis.get(server.serverId);
		boolean requested = requestedAt != null && isOutdated(server, pool)
				&& this.context.nowMillis - requestedAt < LOAD_COMMAND_RETRY_MILLIS;
		return requested || server.lastReport.loading();
	}

	private boolean isLeaseCandidate(PoolConfiguration pool) {
		List<String> candidates = this.context.entryInstances.stream()
			.map(InstanceRecord::instanceId)
			.sorted(Comparator.comparingLong((instance) -> RendezvousHash.score(pool.name(), instance)))
			.limit(LEASE_CANDIDATES_PER_POOL)
			.toList();
		return candidates.isEmpty() || candidates.contains(this.context.instanceId);
	}

	private static String leaseName(PoolConfiguration pool) {
		return "orders-" + pool.name();
	}

}
