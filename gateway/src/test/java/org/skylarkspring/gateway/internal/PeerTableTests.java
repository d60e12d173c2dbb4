package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.policy.Member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link PeerTable}.
 */
class PeerTableTests {

	private static final int DATA_CENTRES = 3;

	private static Member member(int index) {
		return new Member("i" + index, "dc" + index % DATA_CENTRES, (index < 2 * DATA_CENTRES) ? 1.5 : 0.36);
	}

	private static PeerTable table(int self, int instances) {
		PeerTable table = new PeerTable(member(self), 5);
		IntStream.range(0, instances)
			.filter((index) -> index != self)
			.forEach((index) -> table.put(member(index), "10.0.0." + index + ":7200"));
		return table;
	}

	private static PeerLoad load(int teller, boolean relay, String server, int running) {
		return new PeerLoad("i" + teller, relay,
				List.of(new PeerLoad.ServerLoad(server, running, 100L * running, 10L * running)), List.of());
	}

	@Nested
	class ColdServers {

		@Test
		void getRequestsFromAFewOfManyInstances() {
			int rate = 20;
			List<Integer> sharers = IntStream.range(0, 74)
				.map((self) -> table(self, 74).sharers("s1", rate))
				.filter((count) -> count > 0)
				.boxed()
				.toList();
			assertThat(sharers.size(), is(15));
			assertThat(sharers.size() + (double) rate, lessThanOrEqualTo(rate * 1.5 + 5));
		}

		@Test
		void getRequestsFromAllOfAFewInstances() {
			assertThat(table(3, 7).sharers("s1", 37), is(7));
		}

	}

	@Nested
	class Relays {

		@Test
		void tellEachOtherOnly() {
			PeerTable table = table(0, 74);
			assertThat(table.relay(), is(true));
			assertThat(table.otherRelays().size(), is(5));
		}

		@Test
		void ofTheOwnDataCentreAreToldByOthers() {
			PeerTable table = table(20, 74);
			assertThat(table.relay(), is(false));
			assertThat(table.ownRelay(0).map((peer) -> peer.member.dataCentre()).orElseThrow(), is("dc2"));
		}

		@Test
		void thatDoNotAnswerArePassedOverForAWhile() {
			PeerTable table = table(20, 74);
			PeerTable.PeerEntry first = table.ownRelay(0).orElseThrow();
			table.silent(first, 0);
			PeerTable.PeerEntry second = table.ownRelay(0).orElseThrow();
			assertThat(second.member.dataCentre(), is("dc2"));
			table.silent(second, 0);
			assertThat(table.ownRelay(0).map((peer) -> peer.member.dataCentre().equals("dc2")).orElseThrow(),
					is(false));
			assertThat(table.ownRelay(3_000).orElseThrow(), is(first));
		}

		@Test
		void areChosenAnewWhenOneLeaves() {
			PeerTable table = table(20, 74);
			table.remove("i2");
			table.remove("i5");
			assertThat(table.ownRelay(0).map((peer) -> peer.member.dataCentre()).orElseThrow(), is("dc2"));
		}

		@Test
		void areAllInstancesWhereThereAreFew() {
			PeerTable table = table(3, 7);
			assertThat(table.relay(), is(true));
			assertThat(table.otherRelays().size(), is(6));
		}

	}

	@Nested
	class Loads {

		@Test
		void ofInstancesThatTellOnlyHereArePassedOn() {
			PeerTable table = table(0, 74);
			table.told(load(20, false, "s1", 2), 0);
			table.told(load(23, false, "s1", 3), 0);
			table.told(load(1, true, "s1", 7), 0);
			assertThat(PeerTable.sum(table.loadsToPassOn(10)), contains(new PeerLoad.ServerLoad("s1", 5, 500, 50)));
		}

		@Test
		void answeredToAnInstanceLeaveOutItsOwn() {
			PeerTable table = table(0, 74);
			table.told(load(20, false, "s1", 2), 0);
			table.told(load(1, true, "s1", 7), 0);
			assertThat(PeerTable.sum(table.loadsBut("i20", 10)), contains(new PeerLoad.ServerLoad("s1", 7, 700, 70)));
		}

		@Test
		void ofAnotherRelayDoNotCountTwiceAfterAChangeOfRelay() {
			PeerTable table = table(20, 74);
			table.toldByRelay(load(2, true, "s1", 4), 0);
			table.toldByRelay(load(5, true, "s1", 4), 10);
			assertThat(PeerTable.sum(table.loadsBut("", 20)), contains(new PeerLoad.ServerLoad("s1", 4, 400, 40)));
		}

		@Test
		void areForgottenAfterSilence() {
			PeerTable table = table(0, 7);
			table.told(load(1, true, "s1", 7), 0);
			assertThat(table.loadsBut("", 2_000).toList(), empty());
		}

		@Test
		void areNewsOnlyIfTheyDiffer() {
			PeerTable table = table(0, 74);
			assertThat(Stream.of(2, 2, 3).map((running) -> table.told(load(20, false, "s1", running), 0)).toList(),
					contains(true, false, true));
		}

	}

}
