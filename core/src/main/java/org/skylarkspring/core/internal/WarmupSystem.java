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
 * Warms up backend servers. A server starts with a low concurrency limit that grows with
 * the time for which its reports showed it healthy under load. A new incarnation, a new
 * model version or decode steps much slower than the baseline restart the warm-up.
 */
final class WarmupSystem {

	/**
	 * Ratio of the decode step time to the baseline above which a report counts as slow.
	 */
	private static final double SLOW_STEP_RATIO = 2.5;

	/** Consecutive slow reports after which the warm-up is restarted. */
	private static final int SLOW_REPORTS_UNTIL_RESET = 2;

	/**
	 * Time after the start of a warm-up during which reports are not counted as slow, and
	 * only a new incarnation or another instance's newer record restarts the warm-up.
	 */
	private static final long RESET_GRACE_MILLIS = 5_000;

	/** Maximum healthy time credited for the interval between two reports. */
	private static final long MAXIMUM_HEALTHY_INTERVAL_MILLIS = 5_000;

	private static final double BASELINE_SMOOTHING_FACTOR = 0.05;

	private static final double LIMIT_GROWTH_EXPONENT = 1.5;

	/**
	 * Maximum number of leased slots into which the limit of a warming server is divided.
	 */
	private static final int MAXIMUM_LEASED_SLOTS = 4;

	private final CoreContext context;

	private final LeaseSystem leaseSystem;

	private final PeriodicTrigger trigger = new PeriodicTrigger(200);

	WarmupSystem(CoreContext context, LeaseSystem leaseSystem) {
		this.context = context;
		this.leaseSystem = leaseSystem;
	}

	/**
	 * Updates the warm-up state of a server from a load report.
	 * @param server the server
	 * @param report the report
	 * @return {@code false} if the report is from an older incarnation and must be
	 * ignored
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
			restartWarmup(server, "model version changed to " + report.modelVersion());
		}
		evaluateStepTime(server, report);
		return true;
	}

	/**
	 * Adopts another instance's warm-up record if it supersedes the record of this
	 * instance.
	 * @param received the other instance's record
	 */
	void onRecordReceived(WarmupRecord received) {
		this.context.servers.find(received.serverId())
			.filter((server) -> server.warmupRecord == null || received.supersedes(server.warmupRecord))
			.ifPresent((server) -> adoptRecord(server, received));
	}

	private void restartWarmup(ServerEntry server, String reason) {
		if (server.warmupRecord != null
				&& this.context.nowMillis - server.warmupStartedAtMillis >= RESET_GRACE_MILLIS) {
			WarmupRecord previous = server.warmupRecord;
			startWarmup(server,
					new WarmupRecord(previous.serverId(), previous.incarnation(), previous.coldEpoch() + 1, 0), reason);
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
		boolean sameDataCentre = this.context.dataCentre.equals(server.instanceRecord.dataCentre());
		long instancesInDataCentre = this.context.entryInstances.stream()
			.filter((instance) -> isSameDataCentre(instance, server))
			.count();
		if (instancesInDataCentre > pool.maximumInstances()) {
			return 0;
		}
		int slots = leasedSlots(pool);
		List<Integer> heldSlots = IntStream.range(0, slots)
			.filter((slot) -> this.leaseSystem.isHeld(leaseName(server, slot)))
			.boxed()
			.toList();
		int share = WarmupLimitShare.computeShare(total, pool.maximumInstances(), sameDataCentre, slots, heldSlots);
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

	private void startWarmup(ServerEntry server, WarmupRecord warmupRecord, String reason) {
		boolean restarted = server.warmupRecord != null;
		server.warmupRecord = warmupRecord;
		server.warmupStartedAtMillis = this.context.nowMillis;
		server.consecutiveSlowReports = 0;
		server.baselineStepMillis = 0;
		server.concurrencyLimit = 0;
		server.prefixLikelihoods.clear();
		server.cacheSequence = 0;
		updatePhase(server);
		if (restarted) {
			this.context.incrementCounter("server_ramp_resets");
			this.context.emitStateChange("server " + server.serverId, "warm-up restarted: " + reason);
		}
	}

	private void adoptRecord(ServerEntry server, WarmupRecord received) {
		boolean sameEpoch = server.warmupRecord != null && received.incarnation() == server.warmupRecord.incarnation()
				&& received.coldEpoch() == server.warmupRecord.coldEpoch();
		if (sameEpoch) {
			server.warmupRecord = received;
			updatePhase(server);
			return;
		}
		startWarmup(server, received, "newer warm-up record received from another instance");
	}

	private void evaluateStepTime(ServerEntry server, LoadReport report) {
		double stepMillis = report.stepMillis();
		boolean loaded = report.running() > 0 && stepMillis > 0;
		boolean graceExpired = this.context.nowMillis - server.warmupStartedAtMillis >= RESET_GRACE_MILLIS;
		boolean slow = loaded && server.baselineStepMillis > 0
				&& stepMillis > SLOW_STEP_RATIO * server.baselineStepMillis;
		if (slow && graceExpired) {
			server.consecutiveSlowReports++;
			if (server.consecutiveSlowReports >= SLOW_REPORTS_UNTIL_RESET) {
				restartWarmup(server, "decode step time rose to " + Math.round(stepMillis) + " ms, baseline "
						+ Math.round(server.baselineStepMillis) + " ms");
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
		double baselineMillis = server.baselineStepMillis;
		server.baselineStepMillis = (baselineMillis > 0)
				? baselineMillis + BASELINE_SMOOTHING_FACTOR * (stepMillis - baselineMillis) : stepMillis;
	}

	private void addHealthyTime(ServerEntry server, LoadReport report) {
		if (server.phase != WarmupPhase.WARMING) {
			return;
		}
		long elapsedMillis = report.reportedAtMillis() - server.previousReportAtMillis;
		long creditMillis = Math.max(0, Math.min(elapsedMillis, MAXIMUM_HEALTHY_INTERVAL_MILLIS));
		WarmupRecord warmupRecord = server.warmupRecord;
		server.warmupRecord = new WarmupRecord(warmupRecord.serverId(), warmupRecord.incarnation(),
				warmupRecord.coldEpoch(), warmupRecord.healthyMillis() + creditMillis);
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

	// Only warming servers need slot leases; for warm servers, the usual case, this
	// returns early.
	private void updateSlotLeases(ServerEntry server) {
		PoolConfiguration pool = findPool(server);
		boolean wanted = pool != null && server.phase == WarmupPhase.WARMING
				&& server.isEligible(this.context.nowMillis);
		if (!wanted && !server.slotsWanted) {
			return;
		}
		server.slotsWanted = wanted;
		int slots = (pool != null) ? leasedSlots(pool) : MAXIMUM_LEASED_SLOTS;
		List<String> candidates = wanted ? slotCandidates(server, slots) : List.of();
		for (int slot = 0; slot < slots; slot++) {
			boolean own = candidates.isEmpty()
					|| candidates.get(slot % candidates.size()).equals(this.context.instanceId);
			this.leaseSystem.setWanted(leaseName(server, slot), wanted && own);
		}
	}

	// Instances with different instance lists may choose different candidates for a
	// slot; the lease of the slot ensures that only one of them uses it.
	private List<String> slotCandidates(ServerEntry server, int slots) {
		if (server.slotCandidateInstances != this.context.entryInstances) {
			server.slotCandidates = rankSlotCandidates(server, slots);
			server.slotCandidateInstances = this.context.entryInstances;
		}
		return server.slotCandidates;
	}

	private List<String> rankSlotCandidates(ServerEntry server, int slots) {
		return this.context.entryInstances.stream()
			.sorted(Comparator.comparing((InstanceRecord instance) -> !isSameDataCentre(instance, server))
				.thenComparingLong((instance) -> RendezvousHash.score(server.serverId, instance.instanceId())))
			.map(InstanceRecord::instanceId)
			.limit(slots)
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

	private static String leaseName(ServerEntry server, int slot) {
		return "ramp-" + server.serverId + "-" + slot;
	}

}
