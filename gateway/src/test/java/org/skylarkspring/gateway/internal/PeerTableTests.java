package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.policy.ClusterMember;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link PeerTable}.
 */
class PeerTableTests {

	private static final int DATA_CENTRE_COUNT = 3;

	private static ClusterMember member(int index) {
		return new ClusterMember("i" + index, "dc" + index % DATA_CENTRE_COUNT,
				(index < 2 * DATA_CENTRE_COUNT) ? 1.5 : 0.36);
	}

	private static PeerTable table(int self, int instances) {
		PeerTable table = new PeerTable(member(self), 5);
		IntStream.range(0, instances)
			.filter((index) -> index != self)
			.forEach((index) -> table.addOrUpdate(member(index), "10.0.0." + index + ":7200"));
		return table;
	}

	private static PeerLoadReport report(int reporter, boolean relay, String server, int running) {
		return new PeerLoadReport("i" + reporter, relay,
				List.of(new PeerLoadReport.ServerLoad(server, running, 100L * running, 10L * running)), List.of());
	}

	@Nested
	class ColdServerSharing {

		@Test
		void coldServerIsSharedByLimitedNumberOfManyInstances() {
			int rate = 20;
			List<Integer> sharers = IntStream.range(0, 74)
				.map((self) -> table(self, 74).coldServerSharerCount("s1", rate))
				.filter((count) -> count > 0)
				.boxed()
				.toList();
			assertThat(sharers.size(), is(15));
			assertThat(sharers.size() + (double) rate, lessThanOrEqualTo(rate * 1.5 + 5));
		}

		@Test
		void serverThatNamesSmallLimitIsSharedByFewOfManyInstances() {
			List<Integer> sharers = IntStream.range(0, 300)
				.mapToObj((self) -> table(self, 300).sharingInstanceCount("s1", 5.5))
				.toList();
			assertThat(sharers.stream().filter((count) -> count == 5).count(), is(5L));
			assertThat(sharers.stream().filter((count) -> count == 0).count(), is(295L));
		}

		@Test
		void coldServerIsSharedByAllInstancesWhenThereAreFew() {
			assertThat(table(3, 7).coldServerSharerCount("s1", 37), is(7));
		}

	}

	@Nested
	class Relays {

		@Test
		void instanceWithMostCoresIsRelayWithFiveOtherRelays() {
			PeerTable table = table(0, 74);
			assertThat(table.isRelay(), is(true));
			assertThat(table.otherRelays().size(), is(5));
		}

		@Test
		void nonRelayIsAssignedRelayInItsOwnDataCentre() {
			PeerTable table = table(20, 74);
			assertThat(table.isRelay(), is(false));
			assertThat(table.assignedRelay(0).map((peer) -> peer.member.dataCentre()).orElseThrow(), is("dc2"));
		}

		@Test
		void unresponsiveRelayIsSkippedUntilBackoffEnds() {
			PeerTable table = table(20, 74);
			PeerTable.PeerEntry first = table.assignedRelay(0).orElseThrow();
			table.markUnresponsive(first, 0);
			PeerTable.PeerEntry second = table.assignedRelay(0).orElseThrow();
			assertThat(second.member.dataCentre(), is("dc2"));
			table.markUnresponsive(second, 0);
			assertThat(table.assignedRelay(0).map((peer) -> peer.member.dataCentre().equals("dc2")).orElseThrow(),
					is(false));
			assertThat(table.assignedRelay(3_000).orElseThrow(), is(first));
		}

		@Test
		void selectsReplacementRelaysWhenRelaysLeave() {
			PeerTable table = table(20, 74);
			table.remove("i2");
			table.remove("i5");
			assertThat(table.assignedRelay(0).map((peer) -> peer.member.dataCentre()).orElseThrow(), is("dc2"));
		}

		@Test
		void allInstancesAreRelaysWhenThereAreFew() {
			PeerTable table = table(3, 7);
			assertThat(table.isRelay(), is(true));
			assertThat(table.otherRelays().size(), is(6));
		}

	}

	@Nested
	class PeerLoads {

		@Test
		void forwardsOnlyLoadsReportedByNonRelays() {
			PeerTable table = table(0, 74);
			table.recordReport(report(20, false, "s1", 2), 0);
			table.recordReport(report(23, false, "s1", 3), 0);
			table.recordReport(report(1, true, "s1", 7), 0);
			assertThat(PeerTable.sumByServer(table.loadsToForward(10)),
					contains(new PeerLoadReport.ServerLoad("s1", 5, 500, 50)));
		}

		@Test
		void responseToInstanceExcludesItsOwnLoad() {
			PeerTable table = table(0, 74);
			table.recordReport(report(20, false, "s1", 2), 0);
			table.recordReport(report(1, true, "s1", 7), 0);
			assertThat(PeerTable.sumByServer(table.loadsExcluding("i20", 10)),
					contains(new PeerLoadReport.ServerLoad("s1", 7, 700, 70)));
		}

		@Test
		void loadIsNotCountedTwiceAfterChangeOfRelay() {
			PeerTable table = table(20, 74);
			table.recordRelayReport(report(2, true, "s1", 4), 0);
			table.recordRelayReport(report(5, true, "s1", 4), 10);
			assertThat(PeerTable.sumByServer(table.loadsExcluding("", 20)),
					contains(new PeerLoadReport.ServerLoad("s1", 4, 400, 40)));
		}

		@Test
		void loadExpiresWhenPeerStopsReporting() {
			PeerTable table = table(0, 7);
			table.recordReport(report(1, true, "s1", 7), 0);
			assertThat(table.loadsExcluding("", 2_000).toList(), empty());
		}

		@Test
		void reportCountsAsChangeOnlyWhenLoadsDiffer() {
			PeerTable table = table(0, 74);
			assertThat(Stream.of(2, 2, 3)
				.map((running) -> table.recordReport(report(20, false, "s1", running), 0))
				.toList(), contains(true, false, true));
		}

	}

}
