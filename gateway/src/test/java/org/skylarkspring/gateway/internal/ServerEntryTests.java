package org.skylarkspring.gateway.internal;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ServerRegistration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests {@link ServerEntry}.
 */
class ServerEntryTests {

	/** Failure rate up to which failures do not add to the placement cost. */
	private static final double TOLERATED_FAILURE_RATE = 0.25;

	private final ServerEntry entry = new ServerEntry(
			new ServerRegistration("i-1", "desk", "10.0.0.1:80", "dc", 6, false, 0, 1), 0);

	@Nested
	class Failures {

		@Test
		void failedServerIsTriedAgainAfterSomeSeconds() {
			for (int failure = 0; failure < 50; failure++) {
				ServerEntryTests.this.entry.recordConnectionFailure(1_000);
			}
			assertThat(ServerEntryTests.this.entry.failureRate(1_000), greaterThan(0.9));
			assertThat(ServerEntryTests.this.entry.failureRate(8_000), lessThan(TOLERATED_FAILURE_RATE));
			assertThat(ServerEntryTests.this.entry.isEjected(8_000), is(false));
		}

		@Test
		void singleTimeoutDoesNotEjectServer() {
			ServerEntryTests.this.entry.recordResponseTimeout(1_000);
			assertThat(ServerEntryTests.this.entry.isEjected(1_001), is(false));
			ServerEntryTests.this.entry.recordResponseTimeout(1_100);
			assertThat(ServerEntryTests.this.entry.isEjected(1_101), is(true));
		}

		@Test
		void successBetweenTimeoutsKeepsServerInUse() {
			ServerEntryTests.this.entry.recordResponseTimeout(1_000);
			ServerEntryTests.this.entry.recordSuccess(1_050);
			ServerEntryTests.this.entry.recordResponseTimeout(1_100);
			assertThat(ServerEntryTests.this.entry.isEjected(1_101), is(false));
		}

	}

}
