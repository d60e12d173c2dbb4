package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.PoolPolicy;
import org.skylarkspring.core.hash.RendezvousHash;
import org.skylarkspring.core.model.InstanceRecord;

/**
 * Brings the model version of a pool to the one configured, a few servers at a time, so
 * that enough servers keep serving and the weight store is not overloaded. One instance
 * holds the duty for a pool by a lease, and its fencing number goes with every order.
 * Orders name the state to reach, so a repeated one is harmless; what a late one has
 * changed is seen in the reports and ordered again.
 */
final class OrderSystem {

	/** Instances that compete for the duty of one pool. */
	private static final int CANDIDATES = 2;

	/**
	 * Time from taking the duty over to the first order. Orders of the former holder have
	 * arrived by then, also at engines that do not check the fencing number.
	 */
	private static final long SETTLE_MILLIS = 5_000;

	/** Time after which an order without effect is repeated. */
	private static final long REPEAT_MILLIS = 10_000;

	private final CoreContext context;

	private final LeaseSystem leases;

	private final Period period = new Period(500);

	private final Map<String, Long> heldSinceMillis = new HashMap<>();

	private final Map<String, Long> orderedAtMillis = new HashMap<>();

	OrderSystem(CoreContext context, LeaseSystem leases) {
		this.context = context;
		this.leases = leases;
	}

	void tick() {
		if (this.period.due(this.context.nowMillis)) {
			this.context.configuration()
				.map(Configuration::pools)
				.orElse(List.of())
				.stream()
				.filter((pool) -> !pool.modelVersion().isEmpty())
				.forEach(this::reconcile);
		}
	}

	private void reconcile(PoolPolicy pool) {
		List<ServerEntry> servers = this.context.servers.pool(pool.name()).stream().filter(this::reports).toList();
		boolean differs = servers.stream().anyMatch((server) -> outdated(server, pool));
		this.leases.want(leaseName(pool), differs && candidate(pool));
		if (!this.leases.held(leaseName(pool))) {
			this.heldSinceMillis.remove(pool.name());
			return;
		}
		long since = this.heldSinceMillis.computeIfAbsent(pool.name(), (name) -> this.context.nowMillis);
		if (this.context.nowMillis - since >= SETTLE_MILLIS) {
			order(pool, servers);
		}
	}

	private void order(PoolPolicy pool, List<ServerEntry> servers) {
		long loading = servers.stream().filter((server) -> loading(server, pool)).count();
		long serving = servers.stream().filter((server) -> !loading(server, pool) && mayServe(server)).count();
		boolean slotFree = loading < pool.concurrentLoads();
		Optional<ServerEntry> next = servers.stream()
			.filter((server) -> outdated(server, pool) && !loading(server, pool))
			.filter((server) -> !mayServe(server) || serving > pool.minimumServers())
			.min(Comparator.comparingInt((ServerEntry server) -> mayServe(server) ? 1 : 0)
				.thenComparingInt((server) -> server.attempts.size()));
		if (slotFree) {
			next.ifPresent((server) -> send(pool, server));
		}
	}

	private void send(PoolPolicy pool, ServerEntry server) {
		this.orderedAtMillis.put(server.serverId, this.context.nowMillis);
		this.context.count("engine_orders");
		this.context.emit(new Action.OrderServer(server.serverId, server.listing.address(),
				this.leases.fencingNumber(leaseName(pool)), pool.modelVersion()));
	}

	private boolean reports(ServerEntry server) {
		return server.listed && server.report != null;
	}

	private boolean mayServe(ServerEntry server) {
		return server.inService() && server.phase == ServerPhase.WARM;
	}

	private boolean outdated(ServerEntry server, PoolPolicy pool) {
		return !server.report.modelVersion().equals(pool.modelVersion());
	}

	private boolean loading(ServerEntry server, PoolPolicy pool) {
		Long orderedAt = this.orderedAtMillis.get(server.serverId);
		boolean ordered = orderedAt != null && outdated(server, pool)
				&& this.context.nowMillis - orderedAt < REPEAT_MILLIS;
		return ordered || server.report.loading();
	}

	private boolean candidate(PoolPolicy pool) {
		List<String> order = this.context.entryInstances.stream()
			.map(InstanceRecord::instanceId)
			.sorted(Comparator.comparingLong((instance) -> RendezvousHash.score(pool.name(), instance)))
			.limit(CANDIDATES)
			.toList();
		return order.isEmpty() || order.contains(this.context.instanceId);
	}

	private static String leaseName(PoolPolicy pool) {
		return "orders-" + pool.name();
	}

}
