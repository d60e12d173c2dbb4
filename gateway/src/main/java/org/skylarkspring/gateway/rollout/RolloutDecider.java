package org.skylarkspring.gateway.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Determines when an instance writes the status of a rollout. Instances wait longer the
 * higher their rank, so that usually only one writes, and the next one takes over when it
 * does not.
 */
public final class RolloutDecider {

	/**
	 * Delay for each rank before an instance writes, longer than a write and its spread
	 * usually take.
	 */
	private static final long RANK_DELAY_MILLIS = 100;

	/**
	 * Ranks above this one wait no longer, so that the last ones write in time as well.
	 */
	private static final int MAXIMUM_DELAYED_RANK = 10;

	private static final long WRITE_RETRY_MILLIS = 300;

	private final String instanceId;

	private final Map<RolloutState, Proposal> proposals = new HashMap<>();

	/**
	 * Creates a decider without proposals.
	 * @param instanceId id of this instance
	 */
	public RolloutDecider(String instanceId) {
		this.instanceId = instanceId;
	}

	/**
	 * Returns the status to write now. A version that is bad is no longer used by this
	 * instance, whoever writes that.
	 * @param state the order
	 * @param situation what the instance knows besides
	 * @return the status, empty if nothing has to be written by this instance now
	 */
	public Optional<RolloutStatus> decide(RolloutState state, Situation situation) {
		long now = situation.nowMillis();
		RolloutDecision decision = state.decide(situation.runningOnOldServers(), now);
		if (decision instanceof RolloutDecision.RollBack rollBack) {
			state.stopLocally(rollBack.reason());
		}
		boolean recorded = decision.stage() == state.stage() && state.unrecordedStage().isEmpty();
		if (recorded || !situation.fresh()) {
			this.proposals.remove(state);
			return Optional.empty();
		}
		Proposal proposal = this.proposals.get(state);
		if (proposal == null || proposal.stage() != decision.stage()) {
			long delayMillis = RANK_DELAY_MILLIS * Math.min(MAXIMUM_DELAYED_RANK, situation.rank());
			proposal = new Proposal(decision.stage(), now + delayMillis);
		}
		boolean due = now >= proposal.dueMillis();
		this.proposals.put(state, due ? new Proposal(decision.stage(), now + WRITE_RETRY_MILLIS) : proposal);
		return Optional
			.of(new RolloutStatus(decision.stage(), state.rollout().target(), this.instanceId, decision.reason(),
					situation.epochMillis() - (now - state.schedule().orderedMillis())))
			.filter((status) -> due);
	}

	/**
	 * Forgets the intended writes of orders that are gone.
	 * @param table the known rollouts
	 */
	public void retainKnown(RolloutTable table) {
		this.proposals.keySet().retainAll(table.all());
	}

	/**
	 * What an instance knows besides the order.
	 *
	 * @param rank how many instances write before this one
	 * @param fresh whether the entry is known to be recent
	 * @param runningOnOldServers number of requests that run on old servers
	 * @param nowMillis current time in milliseconds
	 * @param epochMillis current time in milliseconds since the epoch
	 */
	public record Situation(int rank, boolean fresh, long runningOnOldServers, long nowMillis, long epochMillis) {
	}

	/**
	 * Intended write.
	 *
	 * @param stage stage to write
	 * @param dueMillis when it is the turn of this instance
	 */
	private record Proposal(RolloutStage stage, long dueMillis) {
	}

}
