package org.skylarkspring.gateway.rollout;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.StoreRevision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests evidence that is lost, counted twice or taken for that of another rollout.
 */
class RolloutEvidenceTests {

	private static final long NOW = 1_700_000_000_000L;

	private final RolloutEvidence evidence = evidence("v2");

	private static RolloutEvidence evidence(String target) {
		return new RolloutEvidence(new Rollout("s", "s", target, 12_000, new StoreRevision(1, 1), Optional.empty()));
	}

	private VersionOutcomes newOutcomes() {
		return this.evidence.samples().get(0).newVersion();
	}

	@Test
	void responsesThatTakeSeveralTimesTheUsualTimeOfTheOldVersionAreSlow() {
		for (int number = 0; number < 10; number++) {
			this.evidence.record("r", false, false, List.of(50.0, 7.0), NOW);
		}
		assertThat(this.evidence.record("r", true, false, List.of(100.0, 8.0), NOW), is(false));
		assertThat(this.evidence.record("r", true, false, List.of(150.0, 8.0), NOW), is(true));
		assertThat(this.evidence.record("r", true, false, List.of(60.0, 25.0), NOW), is(true));
		assertThat(this.evidence.record("other", true, false, List.of(900.0), NOW), is(false));
		assertThat(this.evidence.samples().get(1).newVersion().slow(), is(2L));
	}

	@Test
	void delaysOfBusyMachinesAreNotSlowness() {
		for (int number = 0; number < 10; number++) {
			this.evidence.record("r", false, false, List.of(3.0), NOW);
		}
		assertThat(this.evidence.record("r", true, false, List.of(20.0), NOW), is(false));
		assertThat(this.evidence.record("r", true, false, List.of(40.0), NOW), is(true));
	}

	@Test
	void slownessOfTheNewVersionDoesNotBecomeUsual() {
		for (int number = 0; number < 100; number++) {
			this.evidence.record("r", false, false, List.of(50.0), NOW);
			this.evidence.record("r", true, false, List.of(500.0), NOW);
		}
		assertThat(this.evidence.record("r", true, false, List.of(500.0), NOW), is(true));
	}

	@Test
	void sumsOfPeersAreKeptWhenTheirReportsExpire() {
		RolloutEvidence peer = evidence("v2");
		peer.record("r", true, true, List.of(), NOW);
		this.evidence.record("r", true, false, List.of(), NOW);
		this.evidence.applyPeers(peer.toReport(NOW), NOW);
		this.evidence.applyPeers(peer.toReport(NOW), NOW);
		this.evidence.applyPeers(List.of(), NOW);
		assertThat(newOutcomes().requests(), is(2L));
		assertThat(newOutcomes().failures(), is(1L));
	}

	@Test
	void outcomesOfOtherRolloutsAndUnreadableKeysAreIgnored() {
		RolloutEvidence other = evidence("v3");
		other.record("r", true, true, List.of(), NOW);
		this.evidence.applyPeers(other.toReport(NOW), NOW);
		this.evidence.applyPeers(
				List.of(new VersionOutcomes("s\nv2\n", 1, 1, 0), new VersionOutcomes("s\nv2\nx\ntrue\nr", 1, 1, 0),
						new VersionOutcomes("s\nv2\n99999999999999999999\ntrue\nr", 1, 1, 0),
						new VersionOutcomes("s\nv2\n999999999999999\ntrue\nr", 1, 1, 0)),
				NOW);
		assertThat(this.evidence.samples(), is(empty()));
	}

	@Test
	void onlyTheLastWindowsAreReportedButAllCount() {
		for (int window = 0; window < 5; window++) {
			this.evidence.record("r", true, false, List.of(), NOW + window * RolloutEvidence.WINDOW_MILLIS);
		}
		assertThat(this.evidence.toReport(NOW + 4 * RolloutEvidence.WINDOW_MILLIS), hasSize(2));
		assertThat(this.evidence.samples(), hasSize(5));
	}

}
