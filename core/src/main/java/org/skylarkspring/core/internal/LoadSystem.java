package org.skylarkspring.core.internal;

import java.util.Optional;
import java.util.stream.Stream;

import org.skylarkspring.core.config.PoolPolicy;
import org.skylarkspring.core.config.ServicePolicy;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.LoadReport;

/**
 * Keeps the load of each server: the last report, own placements the report does not
 * cover, and the growth promised to running generations. Steers the quantile of the
 * promises by the preemptions seen and the concurrency limit by the step time.
 */
final class LoadSystem {

	/** Part of the aim between tokens that a decode step may take. */
	private static final double STEP_AIM = 0.9;

	private static final double LIMIT_DECREASE = 0.93;

	/** Fraction of the limit that must be in use for the limit to grow. */
	private static final double LIMIT_USE = 0.85;

	private static final double QUANTILE_START = 0.5;

	private static final double QUANTILE_MINIMUM = 0.1;

	private static final double QUANTILE_MAXIMUM = 0.95;

	private static final double QUANTILE_INCREASE = 0.04;

	private static final double QUANTILE_DECREASE = 0.002;

	/** Likelihood lost by all cached prefixes when a cache change was missed. */
	private static final double GAP_DISCOUNT = 0.7;

	/**
	 * Least lag of a report. The offset between the clocks is learned from reports and
	 * includes it.
	 */
	private static final long REPORT_LAG_ALLOWANCE_MILLIS = 300;

	private static final double CACHED_LIKELIHOOD = 0.9;

	private final CoreContext context;

	private final RampSystem ramps;

	private final Period period = new Period(250);

	private double quantile = QUANTILE_START;

	LoadSystem(CoreContext context, RampSystem ramps) {
		this.context = context;
		this.ramps = ramps;
	}

	void reported(LoadReport report) {
		Optional<ServerEntry> known = this.context.servers.find(report.serverId());
		known.filter((server) -> newer(server, report)).ifPresent((server) -> apply(server, report));
	}

	void cacheChanged(Event.CacheChanged event) {
		this.context.servers.find(event.serverId()).ifPresent((server) -> {
			if (server.cacheSequence != 0 && event.sequence() > server.cacheSequence + 1) {
				server.prefixes.replaceAll((hash, likelihood) -> likelihood * GAP_DISCOUNT);
				this.context.count("cache_event_gaps");
			}
			server.cacheSequence = Math.max(server.cacheSequence, event.sequence());
			if (event.cached()) {
				server.prefixes.put(event.prefixHash(), CACHED_LIKELIHOOD);
			}
			else {
				server.prefixes.remove(event.prefixHash());
			}
		});
	}

	/**
	 * Returns the memory promised to the rest of a generation.
	 * @param request the request
	 * @param outputTokens tokens generated so far
	 * @return number of tokens
	 */
	double promisedTokens(RequestEntry request, int outputTokens) {
		LengthEstimator estimator = this.context.lengths.estimator(request);
		double maximumTokens = Math.max(0, request.spec.maximumOutputTokens() - outputTokens);
		return this.context.policy.promise()
			.promisedTokens(estimator.quantileRemaining(outputTokens, this.quantile),
					estimator.meanRemaining(outputTokens), maximumTokens);
	}

	void placed(AttemptEntry attempt) {
		ServerEntry server = attempt.server;
		int blockTokens = server.report().map(LoadReport::blockTokens).orElse(0);
		double tokens = attempt.contextTokens() + promisedTokens(attempt.request, attempt.outputTokens);
		attempt.promisedBlocks = (blockTokens > 0) ? tokens / blockTokens : 0;
		server.unreportedBlocks += attempt.promisedBlocks;
		server.unreportedPlacements++;
	}

	void tick() {
		if (!this.period.due(this.context.nowMillis)) {
			return;
		}
		this.quantile = Math.max(QUANTILE_MINIMUM, this.quantile - QUANTILE_DECREASE);
		this.context.servers.all()
			.stream()
			.filter((server) -> server.report != null && server.report.blockTokens() > 0)
			.forEach(this::forecast);
	}

	double quantile() {
		return this.quantile;
	}

	private boolean newer(ServerEntry server, LoadReport report) {
		return server.report == null || report.incarnation() > server.report.incarnation()
				|| report.reportedAtMillis() > server.report.reportedAtMillis();
	}

	private void apply(ServerEntry server, LoadReport report) {
		if (!this.ramps.observed(server, report)) {
			return;
		}
		LoadReport previous = server.report;
		boolean sameIncarnation = previous != null && previous.incarnation() == report.incarnation();
		if (sameIncarnation && report.preemptions() > previous.preemptions()) {
			this.quantile = Math.min(QUANTILE_MAXIMUM, this.quantile + QUANTILE_INCREASE);
			this.context.count("preemption_reports");
		}
		server.report = report;
		server.previousReportAtMillis = report.reportedAtMillis();
		server.reportReceivedAtMillis = this.context.nowMillis;
		server.clockOffsetMillis = sameIncarnation
				? Math.min(server.clockOffsetMillis, this.context.nowMillis - report.reportedAtMillis())
				: this.context.nowMillis - report.reportedAtMillis();
		cover(server, report);
		steerLimit(server, report);
	}

	private void cover(ServerEntry server, LoadReport report) {
		long takenAtMillis = report.reportedAtMillis() + server.clockOffsetMillis - REPORT_LAG_ALLOWANCE_MILLIS;
		if (takenAtMillis >= server.suspectSinceMillis) {
			server.suspectSinceMillis = Long.MIN_VALUE;
		}
		server.attempts.stream()
			.filter((attempt) -> !attempt.reported && attempt.placedAtMillis < takenAtMillis)
			.forEach((attempt) -> attempt.reported = true);
		server.unreportedPlacements = (int) server.attempts.stream().filter((attempt) -> !attempt.reported).count();
		server.unreportedBlocks = server.attempts.stream()
			.filter((attempt) -> !attempt.reported)
			.mapToDouble((attempt) -> attempt.promisedBlocks)
			.sum();
		if (report.blockTokens() > 0) {
			forecast(server);
		}
	}

	private void steerLimit(ServerEntry server, LoadReport report) {
		Optional<PoolPolicy> pool = this.context.pool(server.listing.pool());
		if (pool.isEmpty()) {
			return;
		}
		double aimMillis = STEP_AIM * betweenTokensTargetMillis(server);
		int full = pool.get().fullConcurrency();
		if (server.concurrencyLimit <= 0) {
			server.concurrencyLimit = full;
		}
		if (report.stepMillis() > aimMillis && report.running() > 0) {
			double used = Math.min(server.concurrencyLimit, report.running() + report.waiting());
			server.concurrencyLimit = Math.max(pool.get().initialConcurrency(), used * LIMIT_DECREASE);
		}
		else if (report.running() >= LIMIT_USE * server.concurrencyLimit) {
			server.concurrencyLimit = Math.min(full, server.concurrencyLimit + 1);
		}
	}

	private double betweenTokensTargetMillis(ServerEntry server) {
		return servicesOf(server).mapToLong(ServicePolicy::betweenTokensTargetMillis).min().orElse(Long.MAX_VALUE);
	}

	private void forecast(ServerEntry server) {
		double growthTokens = 0;
		int covered = 0;
		for (AttemptEntry attempt : server.attempts) {
			if (attempt.reported) {
				growthTokens += promisedTokens(attempt.request, attempt.outputTokens);
				covered++;
			}
		}
		LoadReport report = server.report;
		server.ownGrowthBlocks = growthTokens / report.blockTokens();
		int others = Math.max(0, report.running() + report.waiting() - covered);
		double meanGrowth = (covered > 0) ? growthTokens / covered : othersGrowthTokens(server);
		server.othersGrowthBlocks = others * meanGrowth / report.blockTokens();
	}

	private double othersGrowthTokens(ServerEntry server) {
		return servicesOf(server).findFirst()
			.map((service) -> this.context.lengths.service(service.name()).quantileRemaining(0, this.quantile))
			.map((tokens) -> this.context.policy.promise().promisedTokens(tokens, tokens, tokens))
			.orElse(0.0);
	}

	private Stream<ServicePolicy> servicesOf(ServerEntry server) {
		return this.context.configuration()
			.stream()
			.flatMap((configuration) -> configuration.services().stream())
			.filter((service) -> service.pool().equals(server.listing.pool()));
	}

}
