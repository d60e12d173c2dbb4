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
 * Tests for {@link RelaySelector}.
 */
class RelaySelectorTests {

	private static List<ClusterMember> members(int count, int dataCentres) {
		return IntStream.range(0, count)
			.mapToObj((index) -> new ClusterMember("i" + index, "dc" + index % dataCentres, 0.36))
			.toList();
	}

	@Test
	void selectsTwoRelaysPerDataCentreOfLargeCluster() {
		assertThat(RelaySelector.selectRelays(members(74, 3)).size(), is(6));
		assertThat(RelaySelector.selectRelays(members(300, 4)).size(), is(8));
		assertThat(RelaySelector.selectRelays(members(410, 13)).size(), is(26));
	}

	@Test
	void selectsSameRelaysForShuffledMembers() {
		List<ClusterMember> shuffled = new ArrayList<>(members(74, 4));
		Collections.shuffle(shuffled, new Random(7));
		assertThat(RelaySelector.selectRelays(shuffled), is(RelaySelector.selectRelays(members(74, 4))));
	}

	@Test
	void selectsInstancesWithMostCores() {
		List<ClusterMember> members = new ArrayList<>(members(20, 1));
		members.add(new ClusterMember("large-1", "dc0", 1.5));
		members.add(new ClusterMember("large-2", "dc0", 1.5));
		assertThat(RelaySelector.selectRelays(members), is(Set.of("large-1", "large-2")));
	}

	@Test
	void selectsAllMembersOfSmallCluster() {
		assertThat(RelaySelector.selectRelays(members(7, 3)), hasItems("i0", "i1", "i2", "i3", "i4", "i5", "i6"));
	}

}
