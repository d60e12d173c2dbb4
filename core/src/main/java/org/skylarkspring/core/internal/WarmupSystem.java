package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

import org.skylarkspring.core.config.PoolConfiguration;
import org.skylarkspring.core.hash.RendezvousHash;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.core.model.WarmupRecord;

/**
 * Warms up backend servers. A server starts with a small limit that grows with the time
 * in which it was seen healthy under load. A new incarnation or decode steps far slower
 * than before put it back to the start.
 */
final class WarmupSystem {

	/** Step time relative to the usual one at which a server counts as cold. */
	private static final double SLOW_STEP_RATIO = 2.5;

	/** Slow reports in a row that make a server cold. */
	private static final int SLOW_REPORTS_UNTIL_RESET = 2;

	/** Time after a reset during which slowness is not counted again. */
	private static final long RESET_GRACE_MILLIS = 5_000;

	/** Longest time between two reports that counts as healthy. */
	private static final long MAXIMUM_HEALTHY_INTERVAL_MILLIS = 5_000;

	private static final double BASELINE_SMOOTHING_FACTOR = 0.05;

	private static final double LIMIT_GROWTH_EXPONENT = 1.5;

	/** Seats into which the limit of a warming server is divided at most. */
	private static final int MAXIMUM_LEASED_SLOTS = 4;

	private final CoreContext context;

	private final LeaseSystem leaseSystem;

	private final PeriodicTrigger trigger = new PeriodicTrigger(200);

	WarmupSystem(CoreContext context, LeaseSystem leaseSystem) {
		this.context = context;
		this.leaseSystem = leaseSystem;
	}

	/**
	 * Takes a report into account.
	 * @param server the server
	 * @param report its report
	 * @return whether the report is of the known or a newer incarnation
	 */
	boolean onLoadReported(ServerEntry server, LoadReport report) {
		if (server.warmupRecord == null || report.incarnation() > server.warmupRecord.incarnation()) {
			startWarmup(server, new WarmupRecord(server.serverId, report.incarnation(), 0, 0), "new incarnation");
			return true;
		}
		if (report.incarnation() < server.warmupRecord.incarnation()) {
			this.context.incrementCounter("reports_of_old_incarnations");
			return false;
		}
		if (server.phase == WarmupPhase.COLD) {
			updatePhase(server);
		}
		if (server.lastReport != null && !report.modelVersion().equals(server.lastReport.modelVersion())) {
			restartWarmup(server, "model version " + report.modelVersion());
		}
		evaluateStepTime(server, report);
		return true;
	}

	/**
	 * Takes the knowledge of another instance into account.
	 * @param offered the other instance's record
	 */
	void onRecordReceived(WarmupRecord offered) {
		this.context.servers.find(offered.serverId())
			.filter((server) -> server.warmupRecord == null || offered.supersedes(server.warmupRecord))
			.ifPresent((server) -> adoptRecord(server, offered));
	}

	private void restartWarmup(ServerEntry server, String reason) {
		if (server.warmupRecord != null
				&& this.context.nowMillis - server.warmupStartedAtMillis >= RESET_GRACE_MILLIS) {
			WarmupRecord last = server.warmupRecord;
			startWarmup(server, new WarmupRecord(last.serverId(), last.incarnation(), last.coldEpoch() + 1, 0), reason);
		}
	}

	void tick() {
		if (this.trigger.fireIfDue(this.context.nowMillis)) {
			this.context.servers.all().forEach(this::updateSlotLeases);
		}
	}

	/**
	 * Returns how many requests this instance may have running on a server.
	 * @param server the server
	 * @return number of requests
	 */
	int ownLimit(ServerEntry server) {
		PoolConfiguration pool = findPool(server);
		if (pool == null || server.phase == WarmupPhase.COLD) {
			return 0;
		}
		if (server.phase == WarmupPhase.WARM) {
			return pool.fullConcurrency();
		}
		int total = totalLimit(server);
		boolean near = this.context.dataCentre.equals(server.instanceRecord.dataCentre());
		long nearInstances = this.context.entryInstances.stream()
			.filter((instance) -> isSameDataCentre(instance, server))
			.count();
		if (nearInstances > pool.maximumInstances()) {
			return 0;
		}
		int seats = leasedSlots(pool);
		List<Integer> held = IntStream.range(0, seats)
			.filter((seat) -> this.leaseSystem.isHeld(leaseName(server, seat)))
			.boxed()
			.toList();
		int share = WarmupLimitShare.computeShare(total, pool.maximumInstances(), near, seats, held);
		return Math.min(share, total - runningElsewhere(server));
	}

	int totalLimit(ServerEntry server) {
		PoolConfiguration pool = findPool(server);
		if (pool == null || server.warmupRecord == null) {
			return 0;
		}
		double progress = Math.min(1, server.warmupRecord.healthyMillis() / Math.max(1.0, pool.warmupMillis()));
		double growth = (pool.fullConcurrency() - pool.initialConcurrency())
				* Math.pow(progress, LIMIT_GROWTH_EXPONENT);
		return pool.initialConcurrency() + (int) growth;
	}

	private void startWarmup(ServerEntry server, WarmupRecord ramp, String reason) {
		boolean restarted = server.warmupRecord != null;
		server.warmupRecord = ramp;
		server.warmupStartedAtMillis = this.context.nowMillis;
		server.consecutiveSlowReports = 0;
		server.baselineStepMillis = 0;
		server.concurrencyLimit = 0;
		server.prefixLikelihoods.clear();
		server.cacheSequence = 0;
		updatePhase(server);
		if (restarted) {
			this.context.incrementCounter("server_ramp_resets");
			this.context.emitStateChange("server " + server.serverId, "warming up again: " + reason);
		}
	}

	private void adoptRecord(ServerEntry server, WarmupRecord offered) {
		boolean sameEpoch = server.warmupRecord != null && offered.incarnation() == server.warmupRecord.incarnation()
				&& offered.coldEpoch() == server.warmupRecord.coldEpoch();
		if (sameEpoch) {
			server.warmupRecord = offered;
			updatePhase(server);
			return;
		}
		startWarmup(server, offered, "reported by a peer");
	}

	private void evaluateStepTime(ServerEntry server, LoadReport report) {
		double stepMillis = report.stepMillis();
		boolean loaded = report.running() > 0 && stepMillis > 0;
		boolean settled = this.context.nowMillis - server.warmupStartedAtMillis >= RESET_GRACE_MILLIS;
		boolean slow = loaded && server.baselineStepMillis > 0
				&& stepMillis > SLOW_STEP_RATIO * server.baselineStepMillis;
		if (slow && settled) {
			server.consecutiveSlowReports++;
			if (server.consecutiveSlowReports >= SLOW_REPORTS_UNTIL_RESET) {
				restartWarmup(server, "decode steps of " + Math.round(stepMillis) + " ms");
			}
			return;
		}
		server.consecutiveSlowReports = 0;
		if (loaded) {
			updateBaselineStepTime(server, stepMillis);
			addHealthyTime(server, report);
		}
	}

	private void updateBaselineStepTime(ServerEntry server, double stepMillis) {
		double known = server.baselineStepMillis;
		server.baselineStepMillis = (known > 0) ? known + BASELINE_SMOOTHING_FACTOR * (stepMillis - known) : stepMillis;
	}

	private void addHealthyTime(ServerEntry server, LoadReport report) {
		if (server.phase != WarmupPhase.WARMING) {
			return;
		}
		long elapsedMillis = report.reportedAtMillis() - server.previousReportAtMillis;
		long creditMillis = Math.max(0, Math.min(elapsedMillis, MAXIMUM_HEALTHY_INTERVAL_MILLIS));
		WarmupRecord ramp = server.warmupRecord;
		server.warmupRecord = new WarmupRecord(ramp.serverId(), ramp.incarnation(), ramp.coldEpoch(),
				ramp.healthyMillis() + creditMillis);
		updatePhase(server);
	}

	private void updatePhase(ServerEntry server) {
		PoolConfiguration pool = findPool(server);
		boolean warm = pool != null && server.warmupRecord.healthyMillis() >= pool.warmupMillis();
		WarmupPhase phase = warm ? WarmupPhase.WARM : WarmupPhase.WARMING;
		if (server.phase != phase) {
			server.phase = phase;
			this.context.emitStateChange("server " + server.serverId, phase.name().toLowerCase(Locale.ROOT));
		}
	}

	private int runningElsewhere(ServerEntry server) {
		int own = (int) server.attempts.stream().filter((attempt) -> attempt.coveredByReport).count();
		return server.lastReport().map((report) -> Math.max(0, report.running() + report.waiting() - own)).orElse(0);
	}

	// Only servers that warm up need leases, and most servers are warm.
	private void updateSlotLeases(ServerEntry server) {
		PoolConfiguration pool = findPool(server);
		boolean wanted = pool != null && server.phase == WarmupPhase.WARMING
				&& server.isEligible(this.context.nowMillis);
		if (!wanted && !server.slotsWanted) {
			return;
		}
		server.slotsWanted = wanted;
		int seats = (pool != null) ? leasedSlots(pool) : MAXIMUM_LEASED_SLOTS;
		List<String> candidates = wanted ? slotCandidates(server, seats) : List.of();
		for (int seat = 0; seat < seats; seat++) {
			boolean own = candidates.isEmpty()
					|| candidates.get(seat % candidates.size()).equals(this.context.instanceId);
			this.leaseSystem.setWanted(leaseName(server, seat), wanted && own);
		}
	}

	// Differing lists make candidates compete for a seat; its lease decides.
	private List<String> slotCandidates(ServerEntry server, int seats) {
		if (server.slotCandidateInstances != this.context.entryInstances) {
			server.slotCandidates = rankSlotCandidates(server, seats);
			server.slotCandidateInstances = this.context.entryInstances;
		}
		return server.slotCandidates;
	}

	private List<String> rankSlotCandidates(ServerEntry server, int seats) {
		return this.context.entryInstances.stream()
			.sorted(Comparator.comparing((InstanceRecord instance) -> !isSameDataCentre(instance, server))
				.thenComparingLong((instance) -> RendezvousHash.score(server.serverId, instance.instanceId())))
			.map(InstanceRecord::instanceId)
			.limit(seats)
			.toList();
	}

	private static boolean isSameDataCentre(InstanceRecord instance, ServerEntry server) {
		return instance.dataCentre().equals(server.instanceRecord.dataCentre());
	}

	private static int leasedSlots(PoolConfiguration pool) {
		return Math.min(MAXIMUM_LEASED_SLOTS, pool.initialConcurrency());
	}

	private PoolConfiguration findPool(ServerEntry server) {
		return this.context.pool(server.instanceRecord.pool()).orElse(null);
	}

	private static String leaseName(ServerEntry server, int seat) {
		return "ramp-" + server.serverId + "-" + seat;
	}

}
