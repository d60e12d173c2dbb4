package org.skylarkspring.gateway.rollout;

import java.util.List;
import java.util.Optional;

/**
 * What an instance knows of one order.
 */
public final class RolloutState {

	private final ExposureBudget budget;

	private final RolloutEvidence evidence;

	private final RolloutAnalysis analysis = new RolloutAnalysis();

	private final double exposureShare;

	private final long firstSeenMillis;

	private Rollout rollout;

	private RolloutStage stage;

	private long orderedMillis;

	/** When this instance learned of the stage. */
	private long stageMillis;

	private String localFault;

	RolloutState(Rollout rollout, ExposureBudget budget, double exposureShare, long nowMillis, long epochMillis) {
		this.rollout = rollout;
		this.budget = budget;
		this.evidence = new RolloutEvidence(rollout);
		this.exposureShare = exposureShare;
		this.firstSeenMillis = nowMillis;
		this.orderedMillis = nowMillis;
		this.stage = RolloutStage.TESTING;
		this.stageMillis = nowMillis;
		update(rollout, nowMillis, epochMillis);
	}

	/**
	 * Applies another state of the entry. An entry that returned from an older copy does
	 * not undo a stage that this instance knows, and an older entry is ignored.
	 * @param read the entry
	 * @param nowMillis current time in milliseconds
	 * @param epochMillis current time in milliseconds since the epoch
	 * @return whether the stage changed
	 */
	boolean update(Rollout read, long nowMillis, long epochMillis) {
		if (read.revision().isBefore(this.rollout.revision())) {
			return false;
		}
		this.rollout = read;
		read.currentStatus()
			.map(RolloutStatus::startedAtEpochMillis)
			.filter((started) -> started > 0)
			.ifPresent((started) -> this.orderedMillis = Math.min(this.firstSeenMillis,
					nowMillis - Math.max(0, epochMillis - started)));
		RolloutStage readStage = read.currentStatus().map(RolloutStatus::stage).orElse(RolloutStage.TESTING);
		boolean changed = readStage != this.stage && (readStage.isFinal() || isAfter(readStage, this.stage));
		if (changed) {
			this.stage = readStage;
			this.stageMillis = nowMillis;
		}
		return changed;
	}

	private static boolean isAfter(RolloutStage first, RolloutStage second) {
		return first.ordinal() > second.ordinal();
	}

	/**
	 * Returns whether an entry is this order. An entry without status in the same era of
	 * the store was created again, because a status is never removed.
	 * @param read the entry
	 * @return {@code false} if it is another order
	 */
	boolean isSameOrder(Rollout read) {
		boolean createdAgain = read.revision().era() == this.rollout.revision().era()
				&& this.rollout.currentStatus().isPresent() && read.currentStatus().isEmpty();
		return this.rollout.isSameOrder(read) && !createdAgain;
	}

	/**
	 * Decides on the evidence of all instances what follows.
	 * @param runningOnOldServers number of requests that run on old servers
	 * @param nowMillis current time in milliseconds
	 * @return the decision
	 */
	public RolloutDecision decide(long runningOnOldServers, long nowMillis) {
		return this.analysis.decide(this.stage, this.evidence.samples(), schedule(), this.stageMillis,
				runningOnOldServers, nowMillis);
	}

	/**
	 * Returns the counts of responses of both versions, for operators.
	 * @return text with the sums over all instances
	 */
	public String evidenceSummary() {
		return RolloutAnalysis.summary(this.evidence.samples());
	}

	/**
	 * Stops the use of the new version by this instance until the order is decided.
	 * @param reason why
	 * @return whether it was in use
	 */
	public boolean stopLocally(String reason) {
		boolean used = this.localFault == null && !this.stage.isFinal();
		if (used) {
			this.localFault = reason;
		}
		return used;
	}

	/**
	 * Returns what speaks against the new version on the evidence of this instance alone.
	 * @return the reason, empty if it is not known to be bad
	 */
	public Optional<String> findOwnFault() {
		return this.stage.isFinal() ? Optional.empty() : this.analysis.findFault(this.evidence.ownSamples());
	}

	/**
	 * Returns why this instance does not use the new version although the order is
	 * undecided.
	 * @return the reason
	 */
	public Optional<String> localFault() {
		return Optional.ofNullable(this.localFault);
	}

	/**
	 * Returns the stage that the entry must show but does not: the first one, or one that
	 * a store lost that returned from an older copy.
	 * @return the stage to write
	 */
	public Optional<RolloutStage> unrecordedStage() {
		Optional<RolloutStage> recorded = this.rollout.currentStatus().map(RolloutStatus::stage);
		return Optional.of(this.stage).filter((known) -> !recorded.equals(Optional.of(known)));
	}

	/**
	 * Records the end of a request.
	 * @param route name of the route
	 * @param version version of the server
	 * @param failed whether the request failed
	 * @param times how long the response took, in milliseconds
	 * @param epochMillis current time in milliseconds since the epoch
	 * @return whether it was a bad response of the new version
	 */
	public boolean recordOutcome(String route, String version, boolean failed, List<Double> times, long epochMillis) {
		return !this.stage.isFinal() && this.evidence.record(route, isTarget(version), failed, times, epochMillis)
				&& isTarget(version);
	}

	boolean isTarget(String version) {
		return version.equals(this.rollout.target());
	}

	/**
	 * Returns the entry as it was last read.
	 * @return the entry
	 */
	public Rollout rollout() {
		return this.rollout;
	}

	/**
	 * Returns the stage.
	 * @return the stage
	 */
	public RolloutStage stage() {
		return this.stage;
	}

	/**
	 * Returns the exposure of the new version by this instance.
	 * @return the budget
	 */
	public ExposureBudget budget() {
		return this.budget;
	}

	/**
	 * Returns the outcomes since the order.
	 * @return the evidence
	 */
	public RolloutEvidence evidence() {
		return this.evidence;
	}

	/**
	 * Returns the times of the rollout.
	 * @return the schedule
	 */
	public RolloutSchedule schedule() {
		return new RolloutSchedule(this.orderedMillis, this.rollout.durationMillis(), this.exposureShare);
	}

}
