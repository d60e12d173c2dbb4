package org.skylarkspring.gateway.internal;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link CallerConnectionTracker}.
 */
class CallerConnectionTrackerTests {

	private final CallerConnectionTracker connections = new CallerConnectionTracker();

	private final List<String> closed = new ArrayList<>();

	private Closeable connection(String name) {
		return () -> this.closed.add(name);
	}

	private void serveRequest(Closeable connection, long completedMillis) {
		this.connections.onRequestArrived(connection);
		this.connections.markIdle(connection, completedMillis);
	}

	@Nested
	class IdleTimeout {

		@Test
		void closesOnlyConnectionsWhoseIdleTimeoutHasExpired() {
			serveRequest(connection("first"), 100);
			serveRequest(connection("second"), 300);
			CallerConnectionTrackerTests.this.connections.closeIdleConnections(1_100, 1_000);
			assertThat(CallerConnectionTrackerTests.this.closed, contains("first"));
		}

		@Test
		void restartsIdleTimeAfterEachResponse() {
			Closeable reused = connection("reused");
			serveRequest(reused, 100);
			serveRequest(connection("other"), 300);
			serveRequest(reused, 900);
			CallerConnectionTrackerTests.this.connections.closeIdleConnections(1_300, 1_000);
			assertThat(CallerConnectionTrackerTests.this.closed, contains("other"));
		}

		@Test
		void doesNotCloseConnectionServingRequest() {
			Closeable busy = connection("busy");
			serveRequest(busy, 100);
			CallerConnectionTrackerTests.this.connections.onRequestArrived(busy);
			CallerConnectionTrackerTests.this.connections.closeIdleConnections(60_000, 1_000);
			assertThat(CallerConnectionTrackerTests.this.closed, empty());
		}

		@Test
		void appliesShorterTimeoutToConnectionsAlreadyIdle() {
			serveRequest(connection("kept"), 0);
			assertThat(CallerConnectionTrackerTests.this.connections.closeIdleConnections(500, 1_000), is(0));
			assertThat(CallerConnectionTrackerTests.this.connections.closeIdleConnections(500, 400), is(1));
		}

	}

	@Nested
	class TrackedConnections {

		@Test
		void countsConnectionOnceAcrossManyRequests() {
			Closeable kept = connection("kept");
			assertThat(CallerConnectionTrackerTests.this.connections.onRequestArrived(kept), is(true));
			for (int request = 0; request < 1_000; request++) {
				CallerConnectionTrackerTests.this.connections.markIdle(kept, request);
				assertThat(CallerConnectionTrackerTests.this.connections.onRequestArrived(kept), is(false));
			}
			assertThat(CallerConnectionTrackerTests.this.connections.size(), is(1));
		}

		@Test
		void doesNotTrackConnectionAfterItIsRemoved() {
			Closeable cut = connection("cut");
			CallerConnectionTrackerTests.this.connections.onRequestArrived(cut);
			CallerConnectionTrackerTests.this.connections.remove(cut);
			CallerConnectionTrackerTests.this.connections.assignRequest(cut, null);
			CallerConnectionTrackerTests.this.connections.markIdle(cut, 10);
			assertThat(CallerConnectionTrackerTests.this.connections.size(), is(0));
		}

	}

}
