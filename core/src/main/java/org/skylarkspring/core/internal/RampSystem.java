package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

import org.skylarkspring.core.config.PoolPolicy;
import org.skylarkspring.core.hash.RendezvousHash;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.core.model.RampRecord;

/**
 * Warms up backend servers. A server starts with a small limit that grows with the time
 * in which it was seen healthy under load. A new incarnation or decode steps far slower
 * than before put it back to the start.
 */
final class RampSystem {

	/** Step time relative to the usual one at which a server counts as cold. */
	private static final double COLD_STEP_RATIO = 2.5;

	/** Slow reports in a row that make a server cold. */
	private static final int COLD_REPORTS = 2;

	/** Time after a reset during which slowness is not counted again. */
	private static final long RESET_GRACE_MILLIS = 5_000;

	/** Longest time between two reports that counts as healthy. */
	private static final long MAXIMUM_CREDIT_MILLIS = 5_000;

	private static final double BASELINE_WEIGHT = 0.05;

	private static final double RAMP_EXPONENT = 1.5;

	/** Seats into which the limit of a warming server is divided at most. */
	private static final int MAXIMUM_SEATS = 4;

	private final CoreContext context;

	private final LeaseSystem leases;

	private final Period period = new Period(200);

	RampSystem(CoreContext context, LeaseSystem leases) {
		this.context = context;
		this.leases = leases;
	}

	/**
	 * Takes a report into account.
	 * @param server the server
	 * @param report its report
	 * @return whether the report is of the known or a newer incarnation
	 */
	boolean observed(ServerEntry server, LoadReport report) {
		if (server.ramp == null || report.incarnation() > server.ramp.incarnation()) {
			start(server, new RampRecord(server.serverId, report.incarnation(), 0, 0), "new incarnation");
			return true;
		}
		if (report.incarnation() < server.ramp.incarnation()) {
			this.context.count("reports_of_old_incarnations");
			return false;
		}
		if (server.phase == ServerPhase.COLD) {
			enterPhase(server);
		}
		if (server.report != null && !report.modelVersion().equals(server.report.modelVersion())) {
			reset(server, "model version " + report.modelVersion());
		}
		judge(server, report);
		return true;
	}

	/**
	 * Takes the knowledge of another instance into account.
	 * @param offered the other instance's record
	 */
	void offered(RampRecord offered) {
		this.context.servers.find(offered.serverId())
			.filter((server) -> server.ramp == null || offered.replaces(server.ramp))
			.ifPresent((server) -> adopt(server, offered));
	}

	private void reset(ServerEntry server, String reason) {
		if (server.ramp != null && this.context.nowMillis - server.resetAtMillis >= RESET_GRACE_MILLIS) {
			RampRecord last = server.ramp;
			start(server, new RampRecord(last.serverId(), last.incarnation(), last.coldEpoch() + 1, 0), reason);
		}
	}

	void tick() {
		if (this.period.due(this.context.nowMillis)) {
			this.context.servers.all().forEach(this::requestLeases);
		}
	}

	/**
	 * Returns how many requests this instance may have running on a server.
	 * @param server the server
	 * @return number of requests
	 */
	int ownLimit(ServerEntry server) {
		PoolPolicy pool = pool(server);
		if (pool == null || server.phase == ServerPhase.COLD) {
			return 0;
		}
		if (server.phase == ServerPhase.WARM) {
			return pool.fullConcurrency();
		}
		int total = totalLimit(server);
		boolean near = this.context.dataCentre.equals(server.listing.dataCentre());
		long nearInstances = this.context.entryInstances.stream()
			.filter((instance) -> sameDataCentre(instance, server))
			.count();
		if (nearInstances > pool.maximumInstances()) {
			return 0;
		}
		int seats = seats(pool);
		List<Integer> held = IntStream.range(0, seats)
			.filter((seat) -> this.leases.held(leaseName(server, seat)))
			.boxed()
			.toList();
		int share = RampShare.share(total, pool.maximumInstances(), near, seats, held);
		return Math.min(share, total - runningElsewhere(server));
	}

	int totalLimit(ServerEntry server) {
		PoolPolicy pool = pool(server);
		if (pool == null || server.ramp == null) {
			return 0;
		}
		double progress = Math.min(1, server.ramp.healthyMillis() / Math.max(1.0, pool.warmupMillis()));
		double growth = (pool.fullConcurrency() - pool.initialConcurrency()) * Math.pow(progress, RAMP_EXPONENT);
		return pool.initialConcurrency() + (int) growth;
	}

	private void start(ServerEntry server, RampRecord ramp, String reason) {
		boolean restarted = server.ramp != null;
		server.ramp = ramp;
		server.resetAtMillis = this.context.nowMillis;
		server.slowReports = 0;
		server.baselineStepMillis = 0;
		server.concurrencyLimit = 0;
		server.prefixes.clear();
		server.cacheSequence = 0;
		enterPhase(server);
		if (restarted) {
			this.context.count("server_ramp_resets");
			this.context.changed("server " + server.serverId, "warming up again: " + reason);
		}
	}

	private void adopt(ServerEntry server, RampRecord offered) {
		boolean sameEpoch = server.ramp != null && offered.incarnation() == server.ramp.incarnation()
				&& offered.coldEpoch() == server.ramp.coldEpoch();
		if (sameEpoch) {
			server.ramp = offered;
			enterPhase(server);
			return;
		}
		start(server, offered, "reported by a peer");
	}

	private void judge(ServerEntry server, LoadReport report) {
		double stepMillis = report.stepMillis();
		boolean loaded = report.running() > 0 && stepMillis > 0;
		boolean settled = this.context.nowMillis - server.resetAtMillis >= RESET_GRACE_MILLIS;
		boolean slow = loaded && server.baselineStepMillis > 0
				&& stepMillis > COLD_STEP_RATIO * server.baselineStepMillis;
		if (slow && settled) {
			server.slowReports++;
			if (server.slowReports >= COLD_REPORTS) {
				reset(server, "decode steps of " + Math.round(stepMillis) + " ms");
			}
			return;
		}
		server.slowReports = 0;
		if (loaded) {
			learnBaseline(server, stepMillis);
			credit(server, report);
		}
	}

	private void learnBaseline(ServerEntry server, double stepMillis) {
		double known = server.baselineStepMillis;
		server.baselineStepMillis = (known > 0) ? known + BASELINE_WEIGHT * (stepMillis - known) : stepMillis;
	}

	private void credit(ServerEntry server, LoadReport report) {
		if (server.phase != ServerPhase.WARMING) {
			return;
		}
		long elapsedMillis = report.reportedAtMillis() - server.previousReportAtMillis;
		long creditMillis = Math.max(0, Math.min(elapsedMillis, MAXIMUM_CREDIT_MILLIS));
		RampRecord ramp = server.ramp;
		server.ramp = new RampRecord(ramp.serverId(), ramp.incarnation(), ramp.coldEpoch(),
				ramp.healthyMillis() + creditMillis);
		enterPhase(server);
	}

	private void enterPhase(ServerEntry server) {
		PoolPolicy pool = pool(server);
		boolean warm = pool != null && server.ramp.healthyMillis() >= pool.warmupMillis();
		ServerPhase phase = warm ? ServerPhase.WARM : ServerPhase.WARMING;
		if (server.phase != phase) {
			server.phase = phase;
			this.context.changed("server " + server.serverId, phase.name().toLowerCase(Locale.ROOT));
		}
	}

	private int runningElsewhere(ServerEntry server) {
		int own = (int) server.attempts.stream().filter((attempt) -> attempt.reported).count();
		return server.report().map((report) -> Math.max(0, report.running() + report.waiting() - own)).orElse(0);
	}

	// Only servers that warm up need leases, and most servers are warm.
	private void requestLeases(ServerEntry server) {
		PoolPolicy pool = pool(server);
		boolean wanted = pool != null && server.phase == ServerPhase.WARMING
				&& server.mayReceive(this.context.nowMillis);
		if (!wanted && !server.seatsWanted) {
			return;
		}
		server.seatsWanted = wanted;
		int seats = (pool != null) ? seats(pool) : MAXIMUM_SEATS;
		List<String> candidates = wanted ? candidates(server, seats) : List.of();
		for (int seat = 0; seat < seats; seat++) {
			boolean own = candidates.isEmpty()
					|| candidates.get(seat % candidates.size()).equals(this.context.instanceId);
			this.leases.want(leaseName(server, seat), wanted && own);
		}
	}

	// Differing lists make candidates compete for a seat; its lease decides.
	private List<String> candidates(ServerEntry server, int seats) {
		if (server.seatCandidatesOf != this.context.entryInstances) {
			server.seatCandidates = rankCandidates(server, seats);
			server.seatCandidatesOf = this.context.entryInstances;
		}
		return server.seatCandidates;
	}

	private List<String> rankCandidates(ServerEntry server, int seats) {
		return this.context.entryInstances.stream()
			.sorted(Comparator.comparing((InstanceRecord instance) -> !sameDataCentre(instance, server))
				.thenComparingLong((instance) -> RendezvousHash.score(server.serverId, instance.instanceId())))
			.map(InstanceRecord::instanceId)
			.limit(seats)
			.toList();
	}

	private static boolean sameDataCentre(InstanceRecord instance, ServerEntry server) {
		return instance.dataCentre().equals(server.listing.dataCentre());
	}

	private static int seats(PoolPolicy pool) {
		return Math.min(MAXIMUM_SEATS, pool.initialConcurrency());
	}

	private PoolPolicy pool(ServerEntry server) {
		return this.context.pool(server.listing.pool()).orElse(null);
	}

	private static String leaseName(ServerEntry server, int seat) {
		return "ramp-" + server.serverId + "-" + seat;
	}

}
