package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ServerListing;
import org.skylarkspring.gateway.model.ServerRun;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ServerTable}.
 */
class ServerTableTests {

	private final List<String> leaving = new ArrayList<>();

	private final ServerTable table = new ServerTable((entry) -> this.leaving.add(entry.listing.id()));

	private static ServerListing listing(String id, boolean draining, long startedAt) {
		return new ServerListing(id, "drafts", "10.0.0.1:80", "ar-centro-a", 24, draining, 0, startedAt);
	}

	private boolean usable(String id) {
		return this.table.find(id).map(ServerEntry::mayReceive).orElse(false);
	}

	@Nested
	class Leaving {

		@Test
		void tellsOnceThatAServerDrains() {
			ServerTableTests.this.table.replaceAll(List.of(listing("s1", false, 1)), false, 0);
			ServerTableTests.this.table.put(listing("s1", true, 1), 10);
			ServerTableTests.this.table.put(listing("s1", true, 1), 20);
			ServerTableTests.this.table.remove("s1", 30);
			assertThat(ServerTableTests.this.leaving, contains("s1"));
			assertThat(usable("s1"), is(false));
		}

		@Test
		void takesARemovalWhileTheStoreIsSoundForLeaving() {
			ServerTableTests.this.table.replaceAll(List.of(listing("s1", false, 1)), false, 0);
			ServerTableTests.this.table.remove("s1", 10);
			assertThat(ServerTableTests.this.leaving, contains("s1"));
		}

	}

	@Nested
	class NewsFromElsewhere {

		@Test
		void countsUntilTheListSaysOtherwise() {
			ServerTableTests.this.table.replaceAll(List.of(listing("s1", false, 1)), false, 0);
			ServerTableTests.this.table.noticedLeaving(new ServerRun("s1", 1));
			ServerTableTests.this.table.noticedLeaving(new ServerRun("s1", 1));
			assertThat(ServerTableTests.this.leaving, contains("s1"));
			assertThat(usable("s1"), is(false));
			ServerTableTests.this.table.put(listing("s1", false, 1), 10);
			assertThat(usable("s1"), is(true));
		}

		@Test
		void ofAnEarlierRunDoesNotCount() {
			ServerTableTests.this.table.put(listing("s1", true, 1), 0);
			ServerTableTests.this.table.put(listing("s1", false, 2), 10);
			ServerTableTests.this.table.noticedLeaving(new ServerRun("s1", 1));
			assertThat(usable("s1"), is(true));
		}

		@Test
		void isPassedOnOnlyFromTheList() {
			ServerTableTests.this.table.replaceAll(List.of(listing("s1", false, 1), listing("s2", true, 1)), false, 0);
			ServerTableTests.this.table.noticedLeaving(new ServerRun("s1", 1));
			assertThat(ServerTableTests.this.table.draining(), contains(new ServerRun("s2", 1)));
		}

	}

	@Nested
	class AfterAnOutage {

		@Test
		void waitsForListingsThatLapsed() {
			ServerTableTests.this.table.replaceAll(List.of(listing("s1", false, 1), listing("s2", false, 1)), false, 0);
			ServerTableTests.this.table.replaceAll(List.of(listing("s2", false, 1)), true, 10_000);
			assertThat(usable("s1"), is(true));
			ServerTableTests.this.table.put(listing("s1", false, 1), 11_500);
			ServerTableTests.this.table.tick(20_000);
			assertThat(usable("s1"), is(true));
			assertThat(ServerTableTests.this.leaving, empty());
		}

		@Test
		void givesUpAListingThatDoesNotComeBack() {
			ServerTableTests.this.table.replaceAll(List.of(listing("s1", false, 1)), false, 0);
			ServerTableTests.this.table.replaceAll(List.of(), true, 10_000);
			ServerTableTests.this.table.tick(10_000 + ServerTable.LAPSE_GRACE_MILLIS);
			assertThat(usable("s1"), is(false));
			assertThat(ServerTableTests.this.leaving, contains("s1"));
		}

	}

	@Nested
	class Restarts {

		@Test
		void forgetsWhatAnEarlierRunHeld() {
			ServerTableTests.this.table.put(listing("s1", true, 1), 0);
			ServerEntry earlier = ServerTableTests.this.table.find("s1").orElseThrow();
			ServerTableTests.this.table.put(listing("s1", false, 2), 10);
			assertThat(usable("s1"), is(true));
			assertThat(ServerTableTests.this.table.find("s1").orElseThrow() == earlier, is(false));
		}

	}

}
