package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link PeerTable}.
 */
class PeerTableTests {

	private static PeerTable table(int self, int instances) {
		PeerTable table = new PeerTable("i" + self, 5);
		IntStream.range(0, instances)
			.filter((index) -> index != self)
			.forEach((index) -> table.all().put("i" + index, new PeerTable.PeerEntry("10.0.0." + index + ":7200")));
		return table;
	}

	@Test
	void letsAFewOfManyInstancesSendToAColdServer() {
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
	void letsAllOfAFewInstancesSend() {
		assertThat(table(3, 7).sharers("s1", 37), is(7));
	}

}
