package org.skylarkspring.core.internal;

import java.util.Optional;
import java.util.stream.Stream;

import org.skylarkspring.core.config.PoolConfiguration;
import org.skylarkspring.core.config.ServiceConfiguration;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.core.policy.OutputLengthEstimator;

/**
 * Tracks the load of each server: the last report, own placements that the report does
 * not cover, and the memory reserved for the growth of running generations. Adjusts the
 * quantile of the reservations by the reported preemptions, and the concurrency limit by
 * the decode step time.
 */
final class LoadSystem {

	/** Fraction of the between-tokens target that a decode step may take. */
	private static final double STEP_TARGET_FRACTION = 0.9;

	private static final double LIMIT_DECREASE_FACTOR = 0.93;

	/** Fraction of the limit that must be in use for the limit to grow. */
	private static final double LIMIT_GROWTH_UTILIZATION = 0.85;

	private static final double INITIAL_QUANTILE = 0.5;

	private static final double MINIMUM_QUANTILE = 0.1;

	private static final double MAXIMUM_QUANTILE = 0.95;

	private static final double QUANTILE_INCREASE_STEP = 0.04;

	private static final double QUANTILE_DECREASE_STEP = 0.002;

	/**
	 * Factor applied to the likelihoods of all cached prefixes when a cache event was
	 * missed.
	 */
	private static final double MISSED_EVENT_DISCOUNT = 0.7;

	/**
	 * Allowance for the minimum lag of a report. The clock offset is estimated from the
	 * arrival of reports and therefore includes this lag.
	 */
	private static final long REPORT_LAG_ALLOWANCE_MILLIS = 300;

	private static final double REPORTED_PREFIX_LIKELIHOOD = 0.9;

	private final CoreContext context;

	private final WarmupSystem warmupSystem;

	private final PeriodicTrigger trigger = new PeriodicTrigger(250);

	private double reservationQuantile = INITIAL_QUANTILE;

	LoadSystem(CoreContext context, WarmupSystem warmupSystem) {
		this.context = context;
		this.warmupSystem = warmupSystem;
	}

	void onLoadReported(LoadReport report) {
		Optional<ServerEntry> knownServer = this.context.servers.find(report.serverId());
		knownServer.filter((server) -> isNewer(server, report)).ifPresent((server) -> applyReport(server, report));
	}

	void onCacheChanged(Event.CacheChanged event) {
		this.context.servers.find(event.serverId()).ifPresent((server) -> {
			if (server.cacheSequence != 0 && event.sequence() > server.cacheSequence + 1) {
				server.prefixLikelihoods.replaceAll((hash, likelihood) -> likelihood * MISSED_EVENT_DISCOUNT);
				this.context.incrementCounter("cache_event_gaps");
			}
			server.cacheSequence = Math.max(server.cacheSequence, event.sequence());
			if (event.cached()) {
				server.prefixLikelihoods.put(event.prefixHash(), REPORTED_PREFIX_LIKELIHOOD);
			}
			else {
				server.prefixLikelihoods.remove(event.prefixHash());
			}
		});
	}

	/**
	 * Returns the memory to reserve for the rest of a generation.
	 * @param request the request
	 * @param outputTokens tokens generated so far
	 * @return memory in tokens
	 */
	double reservedTokens(RequestEntry request, int outputTokens) {
		OutputLengthEstimator estimator = this.context.outputLengths.mostSpecificEstimator(request);
		double maximumTokens = Math.max(0, request.spec.maximumOutputTokens() - outputTokens);
		return this.context.policy.memoryReservation()
			.reservedTokens(estimator.quantileRemaining(outputTokens, this.reservationQuantile),
					estimator.meanRemaining(outputTokens), maximumTokens);
	}

	void recordPlacement(AttemptEntry attempt) {
		ServerEntry server = attempt.server;
		int blockTokens = server.lastReport().map(LoadReport::blockTokens).orElse(0);
		double tokens = attempt.contextTokens() + reservedTokens(attempt.request, attempt.outputTokens);
		attempt.reservedBlocks = (blockTokens > 0) ? tokens / blockTokens : 0;
		server.unreportedBlocks += attempt.reservedBlocks;
		server.unreportedPlacements++;
	}

	void tick() {
		if (!this.trigger.fireIfDue(this.context.nowMillis)) {
			return;
		}
		this.reservationQuantile = Math.max(MINIMUM_QUANTILE, this.reservationQuantile - QUANTILE_DECREASE_STEP);
		this.context.servers.all()
			.stream()
			.filter((server) -> server.lastReport != null && server.lastReport.blockTokens() > 0)
			.forEach(this::updateGrowthForecast);
	}

	double reservationQuantile() {
		return this.reservationQuantile;
	}

	private boolean isNewer(ServerEntry server, LoadReport report) {
		return server.lastReport == null || report.incarnation() > server.lastReport.incarnation()
				|| report.reportedAtMillis() > server.lastReport.reportedAtMillis();
	}

	private void applyReport(ServerEntry server, LoadReport report) {
		if (!this.warmupSystem.onLoadReported(server, report)) {
			return;
		}
		LoadReport previous = server.lastReport;
		boolean sameIncarnation = previous != null && previous.incarnation() == report.incarnation();
		if (sameIncarnation && report.preemptions() > previous.preemptions()) {
			this.reservationQuantile = Math.min(MAXIMUM_QUANTILE, this.reservationQuantile + QUANTILE_INCREASE_STEP);
			this.context.incrementCounter("preemption_reports");
		}
		server.lastReport = report;
		server.previousReportAtMillis = report.reportedAtMillis();
		server.reportReceivedAtMillis = this.context.nowMillis;
		server.clockOffsetMillis = sameIncarnation
				? Math.min(server.clockOffsetMillis, this.context.nowMillis - report.reportedAtMillis())
				: this.context.nowMillis - report.reportedAtMillis();
		markCoveredAttempts(server, report);
		adjustConcurrencyLimit(server, report);
	}

	private void markCoveredAttempts(ServerEntry server, LoadReport report) {
		long measuredAtMillis = report.reportedAtMillis() + server.clockOffsetMillis - REPORT_LAG_ALLOWANCE_MILLIS;
		if (measuredAtMillis >= server.suspectSinceMillis) {
			server.suspectSinceMillis = Long.MIN_VALUE;
		}
		server.attempts.stream()
			.filter((attempt) -> !attempt.coveredByReport && attempt.placedAtMillis < measuredAtMillis)
			.forEach((attempt) -> attempt.coveredByReport = true);
		server.unreportedPlacements = (int) server.attempts.stream()
			.filter((attempt) -> !attempt.coveredByReport)
			.count();
		server.unreportedBlocks = server.attempts.stream()
			.filter((attempt) -> !attempt.coveredByReport)
			.mapToDouble((attempt) -> attempt.reservedBlocks)
			.sum();
		if (report.blockTokens() > 0) {
			updateGrowthForecast(server);
		}
	}

	private void adjustConcurrencyLimit(ServerEntry server, LoadReport report) {
		Optional<PoolConfiguration> pool = this.context.pool(server.instanceRecord.pool());
		if (pool.isEmpty()) {
			return;
		}
		double targetMillis = STEP_TARGET_FRACTION * betweenTokensTargetMillis(server);
		int fullConcurrency = pool.get().fullConcurrency();
		if (server.concurrencyLimit <= 0) {
			server.concurrencyLimit = fullConcurrency;
		}
		if (report.stepMillis() > targetMillis && report.running() > 0) {
			double used = Math.min(server.concurrencyLimit, report.running() + report.waiting());
			server.concurrencyLimit = Math.max(pool.get().initialConcurrency(), used * LIMIT_DECREASE_FACTOR);
		}
		else if (report.running() >= LIMIT_GROWTH_UTILIZATION * server.concurrencyLimit) {
			server.concurrencyLimit = Math.min(fullConcurrency, server.concurrencyLimit + 1);
		}
	}

	private double betweenTokensTargetMillis(ServerEntry server) {
		return servicesOf(server).mapToLong(ServiceConfiguration::betweenTokensTargetMillis)
			.min()
			.orElse(Long.MAX_VALUE);
	}

	private void updateGrowthForecast(ServerEntry server) {
		double growthTokens = 0;
		int covered = 0;
		for (AttemptEntry attempt : server.attempts) {
			if (attempt.coveredByReport) {
				growthTokens += reservedTokens(attempt.request, attempt.outputTokens);
				covered++;
			}
		}
		LoadReport report = server.lastReport;
		server.ownGrowthBlocks = growthTokens / report.blockTokens();
		int otherSequences = Math.max(0, report.running() + report.waiting() - covered);
		double meanGrowth = (covered > 0) ? growthTokens / covered : othersGrowthTokens(server);
		server.othersGrowthBlocks = otherSequences * meanGrowth / report.blockTokens();
	}

	private double othersGrowthTokens(ServerEntry server) {
		return servicesOf(server).findFirst()
			.map((service) -> this.context.outputLengths.serviceEstimator(service.name())
				.quantileRemaining(0, this.reservationQuantile))
			.map((tokens) -> this.context.policy.memoryReservation().reservedTokens(tokens, tokens, tokens))
			.orElse(0.0);
	}

	private Stream<ServiceConfiguration> servicesOf(ServerEntry server) {
		return this.context.configuration()
			.stream()
			.flatMap((configuration) -> configuration.services().stream())
			.filter((service) -> service.pool().equals(server.instanceRecord.pool()));
	}

}
