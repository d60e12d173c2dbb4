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
import org.skylarkspring.core.model.RampRecord;

/**
 * Row of the {@link ServerTable}: one backend server.
 */
final class ServerEntry {

	private static final int MAXIMUM_PREFIXES = 512;

	final String serverId;

	InstanceRecord listing;

	boolean listed;

	boolean drained;

	ServerPhase phase = ServerPhase.COLD;

	RampRecord ramp;

	LoadReport report;

	long reportReceivedAtMillis;

	long previousReportAtMillis;

	/** Estimate of this instance's clock minus the server's clock. */
	long clockOffsetMillis = Long.MAX_VALUE;

	double concurrencyLimit;

	double baselineStepMillis;

	int slowReports;

	long resetAtMillis;

	boolean seatsWanted;

	/**
	 * Entry instances that compete for the seats, ranked from {@link #seatCandidatesOf}.
	 */
	List<String> seatCandidates = List.of();

	List<InstanceRecord> seatCandidatesOf;

	int consecutiveFailures;

	long suspendedUntilMillis;

	/**
	 * When an attempt failed; until a report is younger, the server may have restarted.
	 */
	long suspectSinceMillis = Long.MIN_VALUE;

	long lastPlacement;

	/** Own attempts, in the order of their placement. */
	final Set<AttemptEntry> attempts = new LinkedHashSet<>();

	double ownGrowthBlocks;

	double othersGrowthBlocks;

	double unreportedBlocks;

	int unreportedPlacements;

	long cacheSequence;

	/** Cached prefixes by their hash with the likelihood of still being cached. */
	final Map<Long, Double> prefixes = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Double> eldest) {
			return size() > MAXIMUM_PREFIXES;
		}

	};

	ServerEntry(InstanceRecord listing) {
		this.serverId = listing.instanceId();
		this.listing = listing;
		this.listed = true;
	}

	Optional<LoadReport> report() {
		return Optional.ofNullable(this.report);
	}

	boolean leaving() {
		return this.listing.state() == InstanceState.LEAVING;
	}

	boolean loading() {
		return this.report != null && this.report.loading();
	}

	/**
	 * Returns whether neither the platform nor an operator takes the server out.
	 * @return {@code false} if the server must get no new work, whatever its load
	 */
	boolean inService() {
		return this.listed && !this.drained && !leaving();
	}

	boolean mayReceive(long nowMillis) {
		return inService() && nowMillis >= this.suspendedUntilMillis && this.phase != ServerPhase.COLD && !loading()
				&& this.suspectSinceMillis == Long.MIN_VALUE && reportsLately(nowMillis);
	}

	/**
	 * Returns the number of sequences in the server as this instance sees it.
	 * @return reported sequences and own placements that no report covers
	 */
	double projectedRunning() {
		int reported = report().map((last) -> last.running() + last.waiting()).orElse(0);
		return Math.max(this.attempts.size(), reported + this.unreportedPlacements);
	}

	double projectedBlocks() {
		int used = report().map(LoadReport::usedBlocks).orElse(0);
		return used + this.ownGrowthBlocks + this.othersGrowthBlocks + this.unreportedBlocks;
	}

	double prefixLikelihood(long prefixHash) {
		return (prefixHash != 0) ? this.prefixes.getOrDefault(prefixHash, 0.0) : 0;
	}

	// Without reports the link may stall, and the load is unknown.
	private boolean reportsLately(long nowMillis) {
		return this.report != null && nowMillis - this.reportReceivedAtMillis < CoreLimits.REPORT_EXPIRY_MILLIS;
	}

}
