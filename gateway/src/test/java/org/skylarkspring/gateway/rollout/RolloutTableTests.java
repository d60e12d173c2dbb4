package org.skylarkspring.gateway.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.placement.ServerUse;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests which servers may be used when entries change, are deleted, or return from an
 * older copy of the store.
 */
class RolloutTableTests {

	private static final ServerRegistration OLD = SimulatedInstance.server(9, "v1");

	private static final ServerRegistration NEW = SimulatedInstance.server(2, "v2");

	private static final ServerRegistration OTHER = SimulatedInstance.server(1, "v3");

	private final List<ServerRegistration> servers = new ArrayList<>(List.of(OLD, NEW));

	private final RolloutTable table = new RolloutTable(SimulatedInstance.BOUNDS, (service) -> this.servers,
			(name) -> 5, new Random(1));

	private final RolloutGate gate = new RolloutGate(this.table);

	private long now = 1_000;

	@BeforeEach
	void listNothing() {
		this.servers.set(0, OLD);
		this.table.replaceAll(List.of(), 1, this.now, this.now);
		this.table.confirm(this.now);
	}

	private static Rollout rollout(String target, long era, long revision, RolloutStage stage) {
		return rollout("s", target, era, revision,
				Optional.of(new RolloutStatus(stage, target, "i-1", "reason", 1_000)));
	}

	private static Rollout order(String target, long era, long revision) {
		return rollout("s", target, era, revision, Optional.empty());
	}

	private static Rollout rollout(String name, String target, long era, long revision,
			Optional<RolloutStatus> status) {
		return new Rollout(name, "s", target, 12_000, new StoreRevision(era, revision), status);
	}

	private void apply(Rollout rollout) {
		this.table.apply(rollout, this.now, this.now);
	}

	private boolean mayUse(ServerRegistration server) {
		return this.gate.findObjection(SimulatedInstance.use(server), this.now).isEmpty();
	}

	private boolean mayMigrate(ServerRegistration from, ServerRegistration to) {
		ServerUse use = SimulatedInstance.use(to);
		return this.gate.findObjection(new ServerUse(to, use.request(), Optional.of(from)), this.now).isEmpty();
	}

	private boolean isPreferred() {
		return this.gate.isPreferred(SimulatedInstance.use(NEW), this.now);
	}

	private long acquireAll() {
		long acquired = 0;
		while (this.gate.tryAcquire(SimulatedInstance.use(NEW), this.now)) {
			acquired++;
		}
		return acquired;
	}

	private void assertUsable(boolean old, boolean fresh) {
		assertThat("old", mayUse(OLD), is(old));
		assertThat("new", mayUse(NEW), is(fresh));
	}

	@Nested
	class Stages {

		@Test
		void versionThatNoRolloutNamesGetsNothing() {
			RolloutTableTests.this.servers.remove(NEW);
			assertUsable(true, false);
		}

		@Test
		void bothVersionsAreUsedInTheTestButGenerationsStayOnTheOld() {
			apply(order("v2", 1, 2));
			assertUsable(true, true);
			assertThat(mayMigrate(OLD, NEW), is(false));
			assertThat(mayMigrate(NEW, OLD), is(true));
		}

		@Test
		void requestsAndGenerationsGoToTheNewVersionWhilePromoting() {
			apply(order("v2", 1, 2));
			apply(rollout("v2", 1, 3, RolloutStage.PROMOTING));
			assertUsable(true, true);
			assertThat(isPreferred(), is(true));
			assertThat(mayMigrate(OLD, NEW), is(true));
			assertThat(mayMigrate(OLD, OLD), is(false));
		}

		@Test
		void oldServersGetRequestsWhilePromotingIfTheExposureIsUsedUp() {
			apply(order("v2", 1, 2));
			apply(rollout("v2", 1, 3, RolloutStage.PROMOTING));
			assertThat(acquireAll(), is(5L));
			assertThat(isPreferred(), is(false));
			assertThat(mayUse(OLD), is(true));
		}

		@Test
		void ownEvidenceStopsThePromotionAtOnce() {
			apply(order("v2", 1, 2));
			apply(rollout("v2", 1, 3, RolloutStage.PROMOTING));
			RolloutTableTests.this.table.find("s").orElseThrow().stopLocally("bad");
			assertUsable(true, false);
		}

		@Test
		void onlyTheNewVersionIsUsedWhenCompleted() {
			apply(rollout("v2", 1, 3, RolloutStage.COMPLETED));
			assertUsable(false, true);
			RolloutTableTests.this.now += 60_000;
			assertUsable(false, true);
		}

		@Test
		void onlyTheOldVersionIsUsedWhenRolledBack() {
			apply(order("v2", 1, 2));
			apply(rollout("v2", 1, 3, RolloutStage.ROLLED_BACK));
			assertUsable(true, false);
			assertThat(acquireAll(), is(0L));
		}

	}

	@Nested
	class Age {

		@Test
		void staleEntryAllowsOnlyTheOldVersion() {
			apply(order("v2", 1, 2));
			RolloutTableTests.this.now += 4_000;
			assertUsable(true, false);
		}

		@Test
		void stalePromotionAllowsOnlyTheOldVersion() {
			apply(rollout("v2", 1, 3, RolloutStage.PROMOTING));
			RolloutTableTests.this.now += 4_000;
			assertUsable(true, false);
		}

		@Test
		void testEndsAtTheTimeLimit() {
			apply(order("v2", 1, 2));
			RolloutTableTests.this.now += 12_000;
			RolloutTableTests.this.table.confirm(RolloutTableTests.this.now);
			assertUsable(true, false);
		}

		@Test
		void restartedInstanceKnowsTheTimeLimitByTheStatus() {
			RolloutTableTests.this.now += 11_000;
			apply(rollout("v2", 1, 2, RolloutStage.TESTING));
			RolloutTableTests.this.now += 1_500;
			RolloutTableTests.this.table.confirm(RolloutTableTests.this.now);
			assertUsable(true, false);
		}

	}

	@Nested
	class Slack {

		@Test
		void isUsedGraduallyByInstancesThatSeeTheOrderAppear() {
			apply(order("v2", 1, 2));
			assertThat(acquireAll(), is(1L));
			RolloutTableTests.this.now += 11_990;
			assertThat(acquireAll(), is(3L));
		}

		@Test
		void isNotUsedByRestartedInstances() {
			RolloutTable restarted = new RolloutTable(SimulatedInstance.BOUNDS,
					(service) -> RolloutTableTests.this.servers, (name) -> 5, new Random(1));
			restarted.replaceAll(List.of(order("v2", 1, 2)), 1, 0, 0);
			assertThat(restarted.find("s").orElseThrow().budget().hasRoom(1), is(false));
		}

		@Test
		void isNotUsedTwiceForTheSameOrder() {
			apply(order("v2", 1, 2));
			assertThat(acquireAll(), is(1L));
			RolloutTableTests.this.table.remove("s");
			apply(order("v2", 1, 4));
			assertThat(acquireAll(), is(0L));
		}

	}

	@Nested
	class ChangedEntries {

		@Test
		void deletedOrderEndsTheTest() {
			apply(order("v2", 1, 2));
			RolloutTableTests.this.table.remove("s");
			assertUsable(true, false);
		}

		@Test
		void completedVersionStaysEstablishedWhenItsEntryIsDeleted() {
			apply(rollout("v2", 1, 3, RolloutStage.COMPLETED));
			RolloutTableTests.this.table.remove("s");
			assertUsable(false, true);
		}

		@Test
		void orderWithAnotherTargetEndsTheTestOfTheFormerOne() {
			RolloutTableTests.this.servers.add(OTHER);
			apply(rollout("v2", 1, 2, RolloutStage.TESTING));
			apply(rollout("s", "v3", 1, 3,
					Optional.of(new RolloutStatus(RolloutStage.TESTING, "v2", "i-1", "reason", 1_000))));
			assertUsable(true, false);
			assertThat(mayUse(OTHER), is(true));
		}

		@Test
		void orderAfterACompletedOneStartsFromItsVersion() {
			RolloutTableTests.this.servers.add(OTHER);
			apply(rollout("s", "v3", 1, 3,
					Optional.of(new RolloutStatus(RolloutStage.COMPLETED, "v2", "i-1", "reason", 1_000))));
			assertUsable(false, true);
			assertThat(mayUse(OTHER), is(true));
		}

		@Test
		void olderEntryIsIgnored() {
			apply(rollout("v2", 1, 3, RolloutStage.ROLLED_BACK));
			apply(rollout("v2", 1, 2, RolloutStage.TESTING));
			assertUsable(true, false);
		}

		@Test
		void ofTwoOrdersForOneServiceTheFirstByNameCounts() {
			RolloutTableTests.this.servers.add(OTHER);
			apply(rollout("b", "v3", 1, 2, Optional.empty()));
			apply(rollout("a", "v2", 1, 3, Optional.empty()));
			assertUsable(true, true);
			assertThat(mayUse(OTHER), is(false));
		}

	}

	@Nested
	class RestoredStore {

		private void restore(Rollout... rollouts) {
			RolloutTableTests.this.table.replaceAll(List.of(rollouts), 2, RolloutTableTests.this.now,
					RolloutTableTests.this.now);
		}

		@Test
		void endOfARolloutIsNotUndoneAndIsWrittenAgain() {
			apply(rollout("v2", 1, 9, RolloutStage.ROLLED_BACK));
			restore(order("v2", 2, 5));
			assertUsable(true, false);
			assertThat(RolloutTableTests.this.table.find("s").orElseThrow().unrecordedStage(),
					is(Optional.of(RolloutStage.ROLLED_BACK)));
		}

		@Test
		void completedVersionStaysEstablishedWithoutItsEntry() {
			apply(rollout("v2", 1, 9, RolloutStage.COMPLETED));
			restore();
			assertUsable(false, true);
		}

		@Test
		void testWithoutItsEntryEnds() {
			apply(order("v2", 1, 9));
			restore();
			assertUsable(true, false);
		}

		@Test
		void orderThatReappearsGetsNoSlack() {
			apply(order("v2", 1, 9));
			restore();
			restore(order("v2", 2, 12));
			assertThat(acquireAll(), is(0L));
		}

	}

}
