package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ServerIncarnation;
import org.skylarkspring.gateway.model.ServerRegistration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ServerTable}.
 */
class ServerTableTests {

	private final List<String> terminatingServerIds = new ArrayList<>();

	private final ServerTable table = new ServerTable(
			(entry) -> this.terminatingServerIds.add(entry.registration.id()));

	private static ServerRegistration registration(String id, boolean draining, long startedAt) {
		return new ServerRegistration(id, "drafts", "10.0.0.1:80", "ar-centro-a", 24, draining, 0, startedAt);
	}

	private boolean acceptsRequests(String id) {
		return this.table.find(id).map(ServerEntry::acceptsRequests).orElse(false);
	}

	@Nested
	class Termination {

		@Test
		void notifiesOnceWhenServerDrainsAndIsRemoved() {
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", false, 1)), false, 0);
			ServerTableTests.this.table.addOrUpdate(registration("s1", true, 1), 10);
			ServerTableTests.this.table.addOrUpdate(registration("s1", true, 1), 20);
			ServerTableTests.this.table.remove("s1", 30);
			assertThat(ServerTableTests.this.terminatingServerIds, contains("s1"));
			assertThat(acceptsRequests("s1"), is(false));
		}

		@Test
		void drainingServerThatRestoredStoreListsAsReadyStaysTerminating() {
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", true, 1)), false, 0);
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", false, 1)), true, 10);
			assertThat(acceptsRequests("s1"), is(false));
		}

		@Test
		void drainedAndRemovedServerThatRestoredStoreListsAgainStaysTerminating() {
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", true, 1)), false, 0);
			ServerTableTests.this.table.remove("s1", 10);
			ServerTableTests.this.table.evictExpiredEntries(20);
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", false, 1)), true, 30);
			assertThat(acceptsRequests("s1"), is(false));
			ServerTableTests.this.table.addOrUpdate(registration("s1", false, 2), 40);
			assertThat(acceptsRequests("s1"), is(true));
		}

		@Test
		void removalOutsideStoreOutageTerminatesServer() {
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", false, 1)), false, 0);
			ServerTableTests.this.table.remove("s1", 10);
			assertThat(ServerTableTests.this.terminatingServerIds, contains("s1"));
		}

	}

	@Nested
	class TerminationNotice {

		@Test
		void noticeTerminatesServerUntilNextRegistration() {
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", false, 1)), false, 0);
			ServerTableTests.this.table.markTerminating(new ServerIncarnation("s1", 1));
			ServerTableTests.this.table.markTerminating(new ServerIncarnation("s1", 1));
			assertThat(ServerTableTests.this.terminatingServerIds, contains("s1"));
			assertThat(acceptsRequests("s1"), is(false));
			ServerTableTests.this.table.addOrUpdate(registration("s1", false, 1), 10);
			assertThat(acceptsRequests("s1"), is(true));
		}

		@Test
		void ignoresTerminationNoticeForEarlierIncarnation() {
			ServerTableTests.this.table.addOrUpdate(registration("s1", true, 1), 0);
			ServerTableTests.this.table.addOrUpdate(registration("s1", false, 2), 10);
			ServerTableTests.this.table.markTerminating(new ServerIncarnation("s1", 1));
			assertThat(acceptsRequests("s1"), is(true));
		}

		@Test
		void drainingIncarnationsIncludeOnlyServersListedAsDraining() {
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", false, 1), registration("s2", true, 1)),
					false, 0);
			ServerTableTests.this.table.markTerminating(new ServerIncarnation("s1", 1));
			assertThat(ServerTableTests.this.table.drainingIncarnations(), contains(new ServerIncarnation("s2", 1)));
		}

	}

	@Nested
	class AfterStoreOutage {

		@Test
		void keepsMissingServerThatIsRelistedWithinGracePeriod() {
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", false, 1), registration("s2", false, 1)),
					false, 0);
			ServerTableTests.this.table.replaceAll(List.of(registration("s2", false, 1)), true, 10_000);
			assertThat(acceptsRequests("s1"), is(true));
			ServerTableTests.this.table.addOrUpdate(registration("s1", false, 1), 11_500);
			ServerTableTests.this.table.evictExpiredEntries(20_000);
			assertThat(acceptsRequests("s1"), is(true));
			assertThat(ServerTableTests.this.terminatingServerIds, empty());
		}

		@Test
		void terminatesMissingServerWhenGracePeriodEnds() {
			ServerTableTests.this.table.replaceAll(List.of(registration("s1", false, 1)), false, 0);
			ServerTableTests.this.table.replaceAll(List.of(), true, 10_000);
			ServerTableTests.this.table.evictExpiredEntries(10_000 + ServerTable.RELIST_GRACE_MILLIS);
			assertThat(acceptsRequests("s1"), is(false));
			assertThat(ServerTableTests.this.terminatingServerIds, contains("s1"));
		}

	}

	@Nested
	class ServerRestart {

		@Test
		void restartedServerGetsNewEntry() {
			ServerTableTests.this.table.addOrUpdate(registration("s1", true, 1), 0);
			ServerEntry earlierEntry = ServerTableTests.this.table.find("s1").orElseThrow();
			ServerTableTests.this.table.addOrUpdate(registration("s1", false, 2), 10);
			assertThat(acceptsRequests("s1"), is(true));
			assertThat(ServerTableTests.this.table.find("s1").orElseThrow() == earlierEntry, is(false));
		}

	}

}
