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

	/** Estimate of this instance's clock minus the server's clock. */
	long clockOffsetMillis = Long.MAX_VALUE;

	double concurrencyLimit;

	double baselineStepMillis;

	int consecutiveSlowReports;

	long warmupStartedAtMillis;

	boolean slotsWanted;

	/**
	 * Entry instances that compete for the seats, ranked from
	 * {@link #slotCandidateInstances}.
	 */
	List<String> slotCandidates = List.of();

	List<InstanceRecord> slotCandidateInstances;

	int consecutiveFailures;

	long backoffUntilMillis;

	/**
	 * When an attempt failed; until a report is younger, the server may have restarted.
	 */
	long suspectSinceMillis = Long.MIN_VALUE;

	long lastPlacementNumber;

	/** Own attempts, in the order of their placement. */
	final Set<AttemptEntry> attempts = new LinkedHashSet<>();

	double ownGrowthBlocks;

	double othersGrowthBlocks;

	double unreportedBlocks;

	int unreportedPlacements;

	long cacheSequence;

	/** Cached prefixes by their hash with the likelihood of still being cached. */
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
	 * Returns whether neither the platform nor an operator takes the server out.
	 * @return {@code false} if the server must get no new work, whatever its load
	 */
	boolean isInService() {
		return this.listed && !this.drained && !isLeaving();
	}

	boolean isEligible(long nowMillis) {
		return isInService() && nowMillis >= this.backoffUntilMillis && this.phase != WarmupPhase.COLD && !isLoading()
				&& this.suspectSinceMillis == Long.MIN_VALUE && hasRecentReport(nowMillis);
	}

	/**
	 * Returns the number of sequences in the server as this instance sees it.
	 * @return reported sequences and own placements that no report covers
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

	// Without reports the link may stall, and the load is unknown.
	private boolean hasRecentReport(long nowMillis) {
		return this.lastReport != null && nowMillis - this.reportReceivedAtMillis < CoreLimits.REPORT_EXPIRY_MILLIS;
	}

}
