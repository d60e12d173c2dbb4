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

	private final MembershipSystem membership = new MembershipSystem(this.context);

	private void list(int servers, int entries, int dataCentres) {
		List<InstanceRecord> rows = new ArrayList<>();
		for (int index = 0; index < servers; index++) {
			rows.add(row("server-" + index, InstanceRole.BACKEND, POOL, "dc-" + index % dataCentres));
		}
		for (int index = 0; index < entries; index++) {
			rows.add(row("entry-" + index, InstanceRole.ENTRY, "", "dc-" + index % dataCentres));
		}
		this.membership.listed(rows);
	}

	private static InstanceRecord row(String name, InstanceRole role, String pool, String dataCentre) {
		return new InstanceRecord(name, role, pool, dataCentre, name, InstanceState.LIVE);
	}

	private int sharersOfFirstServer() {
		return this.membership.sharers(this.context.servers.find("server-0").orElseThrow());
	}

	@Nested
	class Sharers {

		@Test
		void areAllInstancesOfASmallPool() {
			list(8, 7, 3);
			assertThat(sharersOfFirstServer(), is(7));
		}

		@Test
		void areTheNearInstancesOfALargePool() {
			list(162, 410, 13);
			assertThat(sharersOfFirstServer(), is(32));
		}

	}

	@Nested
	class Selection {

		@Test
		void prefersServersOfTheOwnDataCentre() {
			list(300, 13, 13);
			List<String> centres = MembershipSystemTests.this.membership.selected()
				.stream()
				.map((server) -> server.listing.dataCentre())
				.toList();
			assertThat(centres, hasSize(16));
			assertThat(centres, everyItem(is("dc-0")));
		}

	}

	@Nested
	class Lists {

		@Test
		void thatSuddenlyLackMostServersAreNotBelieved() {
			list(100, 4, 2);
			list(0, 4, 2);
			assertThat(MembershipSystemTests.this.membership.selected(), hasSize(16));
		}

	}

}
