package org.skylarkspring.gateway.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RelaySelection}.
 */
class RelaySelectionTests {

	private static List<Member> members(int count, int dataCentres) {
		return IntStream.range(0, count)
			.mapToObj((index) -> new Member("i" + index, "dc" + index % dataCentres, 0.36))
			.toList();
	}

	@Test
	void growsWithDataCentresAndNotWithInstances() {
		assertThat(RelaySelection.choose(members(74, 3)).size(), is(6));
		assertThat(RelaySelection.choose(members(300, 4)).size(), is(8));
		assertThat(RelaySelection.choose(members(410, 13)).size(), is(26));
	}

	@Test
	void isTheSameInWhateverOrderMembersAreKnown() {
		List<Member> shuffled = new ArrayList<>(members(74, 4));
		Collections.shuffle(shuffled, new Random(7));
		assertThat(RelaySelection.choose(shuffled), is(RelaySelection.choose(members(74, 4))));
	}

	@Test
	void takesTheInstancesWithMostCores() {
		List<Member> members = new ArrayList<>(members(20, 1));
		members.add(new Member("large-1", "dc0", 1.5));
		members.add(new Member("large-2", "dc0", 1.5));
		assertThat(RelaySelection.choose(members), is(Set.of("large-1", "large-2")));
	}

	@Test
	void takesAllOfAFew() {
		assertThat(RelaySelection.choose(members(7, 3)), hasItems("i0", "i1", "i2", "i3", "i4", "i5", "i6"));
	}

}
