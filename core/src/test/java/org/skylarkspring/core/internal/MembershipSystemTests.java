package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.policy.CorePolicy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link MembershipSystem}.
 */
class MembershipSystemTests {

	private static final String POOL = "inyigisho";

	private final CoreContext context = new CoreContext("entry-0", "dc-0", CorePolicy.builder().build(), 1);

	private final MembershipSystem membershipSystem = new MembershipSystem(this.context);

	private void listInstances(int servers, int entries, int dataCentres) {
		List<InstanceRecord> records = new ArrayList<>();
		for (int index = 0; index < servers; index++) {
			records.add(instanceRecord("server-" + index, InstanceRole.BACKEND, POOL, "dc-" + index % dataCentres));
		}
		for (int index = 0; index < entries; index++) {
			records.add(instanceRecord("entry-" + index, InstanceRole.ENTRY, "", "dc-" + index % dataCentres));
		}
		this.membershipSystem.onInstancesListed(records);
	}

	private static InstanceRecord instanceRecord(String name, InstanceRole role, String pool, String dataCentre) {
		return new InstanceRecord(name, role, pool, dataCentre, name, InstanceState.LIVE);
	}

	private int countInstancesSharingFirstServer() {
		return this.membershipSystem.countSharingInstances(this.context.servers.find("server-0").orElseThrow());
	}

	@Nested
	class CountSharingInstances {

		@Test
		void countsAllInstancesWhenPoolIsSmall() {
			listInstances(8, 7, 3);
			assertThat(countInstancesSharingFirstServer(), is(7));
		}

		@Test
		void countsOnlyInstancesOfServersDataCentreWhenPoolIsLarge() {
			listInstances(162, 410, 13);
			assertThat(countInstancesSharingFirstServer(), is(32));
		}

	}

	@Nested
	class SelectedServers {

		@Test
		void selectsServersOfOwnDataCentreFirst() {
			listInstances(300, 13, 13);
			List<String> dataCentres = MembershipSystemTests.this.membershipSystem.selectedServers()
				.stream()
				.map((server) -> server.instanceRecord.dataCentre())
				.toList();
			assertThat(dataCentres, hasSize(16));
			assertThat(dataCentres, everyItem(is("dc-0")));
		}

	}

	@Nested
	class WhenInstanceListIsImplausible {

		@Test
		void ignoresListThatLacksAllKnownServers() {
			listInstances(100, 4, 2);
			listInstances(0, 4, 2);
			assertThat(MembershipSystemTests.this.membershipSystem.selectedServers(), hasSize(16));
		}

	}

}
