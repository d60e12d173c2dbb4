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
 * Tests of {@link CallerConnections}.
 */
class CallerConnectionsTests {

	private final CallerConnections connections = new CallerConnections();

	private final List<String> closed = new ArrayList<>();

	private Closeable connection(String name) {
		return () -> this.closed.add(name);
	}

	private void serveOne(Closeable connection, long answeredMillis) {
		this.connections.requestArrived(connection);
		this.connections.answered(connection, answeredMillis);
	}

	@Nested
	class IdleTime {

		@Test
		void closesOnlyThoseIdleForTooLong() {
			serveOne(connection("first"), 100);
			serveOne(connection("second"), 300);
			CallerConnectionsTests.this.connections.closeIdle(1_100, 1_000);
			assertThat(CallerConnectionsTests.this.closed, contains("first"));
		}

		@Test
		void beginsAnewWithEachAnswer() {
			Closeable reused = connection("reused");
			serveOne(reused, 100);
			serveOne(connection("other"), 300);
			serveOne(reused, 900);
			CallerConnectionsTests.this.connections.closeIdle(1_300, 1_000);
			assertThat(CallerConnectionsTests.this.closed, contains("other"));
		}

		@Test
		void doesNotPassWhileARequestIsServed() {
			Closeable busy = connection("busy");
			serveOne(busy, 100);
			CallerConnectionsTests.this.connections.requestArrived(busy);
			CallerConnectionsTests.this.connections.closeIdle(60_000, 1_000);
			assertThat(CallerConnectionsTests.this.closed, empty());
		}

		@Test
		void followsAShorterLimitAtOnce() {
			serveOne(connection("kept"), 0);
			assertThat(CallerConnectionsTests.this.connections.closeIdle(500, 1_000), is(0));
			assertThat(CallerConnectionsTests.this.connections.closeIdle(500, 400), is(1));
		}

	}

	@Nested
	class Rows {

		@Test
		void areOneForEachConnectionHoweverManyRequestsItBrings() {
			Closeable kept = connection("kept");
			assertThat(CallerConnectionsTests.this.connections.requestArrived(kept), is(true));
			for (int request = 0; request < 1_000; request++) {
				CallerConnectionsTests.this.connections.answered(kept, request);
				assertThat(CallerConnectionsTests.this.connections.requestArrived(kept), is(false));
			}
			assertThat(CallerConnectionsTests.this.connections.size(), is(1));
		}

		@Test
		void goWithTheirConnection() {
			Closeable cut = connection("cut");
			CallerConnectionsTests.this.connections.requestArrived(cut);
			CallerConnectionsTests.this.connections.ended(cut);
			CallerConnectionsTests.this.connections.serves(cut, null);
			CallerConnectionsTests.this.connections.answered(cut, 10);
			assertThat(CallerConnectionsTests.this.connections.size(), is(0));
		}

	}

}
