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
 * Brings the model version of a pool to the one configured, a few servers at a time, so
 * that enough servers keep serving and the weight store is not overloaded. One instance
 * holds the duty for a pool by a lease, and its fencing number goes with every order.
 * Orders name the state to reach, so a repeated one is harmless; what a late one has
 * changed is seen in the reports and ordered again.
 */
final class ModelRolloutSystem {

	/** Instances that compete for the duty of one pool. */
	private static final int LEASE_CANDIDATES_PER_POOL = 2;

	/**
	 * Time from taking the duty over to the first order. Orders of the former holder have
	 * arrived by then, also at engines that do not check the fencing number.
	 */
	private static final long TAKEOVER_DELAY_MILLIS = 5_000;

	/** Time after which an order without effect is repeated. */
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
		boolean differs = servers.stream().anyMatch((server) -> isOutdated(server, pool));
		this.leaseSystem.setWanted(leaseName(pool), differs && isLeaseCandidate(pool));
		if (!this.leaseSystem.isHeld(leaseName(pool))) {
			this.leaseHeldSinceMillis.remove(pool.name());
			return;
		}
		long since = this.leaseHeldSinceMillis.computeIfAbsent(pool.name(), (name) -> this.context.nowMillis);
		if (this.context.nowMillis - since >= TAKEOVER_DELAY_MILLIS) {
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
		Long orderedAt = this.loadRequestedAtMillis.get(server.serverId);
		boolean ordered = orderedAt != null && isOutdated(server, pool)
				&& this.context.nowMillis - orderedAt < LOAD_COMMAND_RETRY_MILLIS;
		return ordered || server.lastReport.loading();
	}

	private boolean isLeaseCandidate(PoolConfiguration pool) {
		List<String> order = this.context.entryInstances.stream()
			.map(InstanceRecord::instanceId)
			.sorted(Comparator.comparingLong((instance) -> RendezvousHash.score(pool.name(), instance)))
			.limit(LEASE_CANDIDATES_PER_POOL)
			.toList();
		return order.isEmpty() || order.contains(this.context.instanceId);
	}

	private static String leaseName(PoolConfiguration pool) {
		return "orders-" + pool.name();
	}

}
