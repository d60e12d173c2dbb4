package org.skylarkspring.gateway.rollout;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.StoreRevision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests writes that come out of turn, from an instance without recent knowledge, or not
 * at all because a decider has died.
 */
class RolloutDeciderTests {

	private final RolloutTable table = new RolloutTable(SimulatedInstance.BOUNDS, (service) -> List.of(), (name) -> 0,
			new Random(1));

	private final RolloutDecider decider = new RolloutDecider("i-1");

	private RolloutState state;

	@BeforeEach
	void order() {
		apply(1, Optional.empty());
		this.state = this.table.find("s").orElseThrow();
	}

	private void apply(long revision, Optional<RolloutStatus> status) {
		this.table.apply(new Rollout("s", "s", "v2", 12_000, new StoreRevision(1, revision), status), 0, 0);
	}

	private Optional<RolloutStage> decide(int rank, boolean fresh, long now) {
		return this.decider.decide(this.state, new RolloutDecider.Situation(rank, fresh, 0, now, now))
			.map(RolloutStatus::stage);
	}

	private void recordBadVersion() {
		for (int number = 0; number < 20; number++) {
			this.state.recordOutcome("r", "v1", false, List.of(), 0);
			this.state.recordOutcome("r", "v2", true, List.of(), 0);
		}
	}

	@Test
	void firstInstanceWritesAtOnceAndTheOthersInTheirTurn() {
		assertThat(decide(0, true, 0), is(Optional.of(RolloutStage.TESTING)));
		this.decider.retainKnown(
				new RolloutTable(SimulatedInstance.BOUNDS, (service) -> List.of(), (name) -> 0, new Random(1)));
		assertThat(decide(3, true, 1_000), is(Optional.empty()));
		assertThat(decide(3, true, 1_299), is(Optional.empty()));
		assertThat(decide(3, true, 1_300), is(Optional.of(RolloutStage.TESTING)));
	}

	@Test
	void writeIsRepeatedUntilTheEntryShowsTheStage() {
		assertThat(decide(0, true, 0), is(Optional.of(RolloutStage.TESTING)));
		assertThat(decide(0, true, 200), is(Optional.empty()));
		assertThat(decide(0, true, 300), is(Optional.of(RolloutStage.TESTING)));
		apply(2, Optional.of(new RolloutStatus(RolloutStage.TESTING, "v2", "i-9", "", 0)));
		assertThat(decide(0, true, 900), is(Optional.empty()));
	}

	@Test
	void instanceTakesOverWhenTheDeciderDiesBetweenTwoWrites() {
		apply(2, Optional.of(new RolloutStatus(RolloutStage.TESTING, "v2", "i-9", "", 0)));
		recordBadVersion();
		assertThat(decide(1, true, 500), is(Optional.empty()));
		assertThat(decide(1, true, 600), is(Optional.of(RolloutStage.ROLLED_BACK)));
	}

	@Test
	void decisionOfAnotherInstanceIsAdopted() {
		recordBadVersion();
		assertThat(decide(0, true, 500), is(Optional.of(RolloutStage.ROLLED_BACK)));
		apply(2, Optional.of(new RolloutStatus(RolloutStage.COMPLETED, "v2", "i-9", "", 0)));
		assertThat(decide(0, true, 5_000), is(Optional.empty()));
		assertThat(this.state.stage(), is(RolloutStage.COMPLETED));
	}

	@Test
	void instanceWithoutRecentKnowledgeStopsButDoesNotWrite() {
		recordBadVersion();
		assertThat(decide(0, false, 500), is(Optional.empty()));
		assertThat(this.state.localFault().isPresent(), is(true));
	}

}
