package org.skylarkspring.core.internal;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.core.model.WarmupRecord;

/**
 * Row of the {@link ServerTable}: one backend server.
 */
final class ServerEntry {

	private static final int MAXIMUM_TRACKED_PREFIXES = 512;

	final String serverId;

	InstanceRecord instanceRecord;

	boolean listed;

	boolean drained;

	WarmupPhase phase = WarmupPhase.COLD;

	WarmupRecord warmupRecord;

	LoadReport lastReport;

	long reportReceivedAtMillis;

	long previousReportAtMillis;

	/**
	 * Estimated difference between this instance's clock and the server's clock (own
	 * minus server), including the minimum lag of a report.
	 */
	long clockOffsetMillis = Long.MAX_VALUE;

	double concurrencyLimit;

	double baselineStepMillis;

	int consecutiveSlowReports;

	long warmupStartedAtMillis;

	/** Whether this instance may compete for slot leases of the server. */
	boolean slotsWanted;

	/**
	 * Entry instances that compete for the slot leases, ranked from
	 * {@link #slotCandidateInstances}.
	 */
	List<String> slotCandidates = List.of();

	List<InstanceRecord> slotCandidateInstances;

	int consecutiveFailures;

	long backoffUntilMillis;

	/**
	 * Time of the last failed attempt, after which the server may have restarted; reset
	 * by the first load report measured later.
	 */
	long suspectSinceMillis = Long.MIN_VALUE;

	long lastPlacementNumber;

	/** Own attempts in order of placement. */
	final Set<AttemptEntry> attempts = new LinkedHashSet<>();

	double ownGrowthBlocks;

	double othersGrowthBlocks;

	double unreportedBlocks;

	int unreportedPlacements;

	long cacheSequence;

	/** Likelihood that a prefix is cached on the server, by prefix hash. */
	final Map<Long, Double> prefixLikelihoods = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Double> eldest) {
			return size() > MAXIMUM_TRACKED_PREFIXES;
		}

	};

	ServerEntry(InstanceRecord instanceRecord) {
		this.serverId = instanceRecord.instanceId();
		this.instanceRecord = instanceRecord;
		this.listed = true;
	}

	Optional<LoadReport> lastReport() {
		return Optional.ofNullable(this.lastReport);
	}

	boolean isLeaving() {
		return this.instanceRecord.state() == InstanceState.LEAVING;
	}

	boolean isLoading() {
		return this.lastReport != null && this.lastReport.loading();
	}

	/**
	 * Returns whether neither the platform nor an operator has taken the server out of
	 * service.
	 * @return {@code false} if the server must receive no new requests, whatever its load
	 */
	boolean isInService() {
		return this.listed && !this.drained && !isLeaving();
	}

	boolean isEligible(long nowMillis) {
		return isInService() && nowMillis >= this.backoffUntilMillis && this.phase != WarmupPhase.COLD && !isLoading()
				&& this.suspectSinceMillis == Long.MIN_VALUE && hasRecentReport(nowMillis);
	}

	/**
	 * Returns the estimated number of sequences on the server.
	 * @return reported sequences and own placements that no report covers, at least the
	 * number of own attempts
	 */
	double projectedRunning() {
		int reported = lastReport().map((last) -> last.running() + last.waiting()).orElse(0);
		return Math.max(this.attempts.size(), reported + this.unreportedPlacements);
	}

	double projectedBlocks() {
		int used = lastReport().map(LoadReport::usedBlocks).orElse(0);
		return used + this.ownGrowthBlocks + this.othersGrowthBlocks + this.unreportedBlocks;
	}

	double prefixLikelihood(long prefixHash) {
		return (prefixHash != 0) ? this.prefixLikelihoods.getOrDefault(prefixHash, 0.0) : 0;
	}

	// Without recent reports the connection may be stalled and the load is unknown.
	private boolean hasRecentReport(long nowMillis) {
		return this.lastReport != null && nowMillis - this.reportReceivedAtMillis < CoreLimits.REPORT_EXPIRY_MILLIS;
	}

}
