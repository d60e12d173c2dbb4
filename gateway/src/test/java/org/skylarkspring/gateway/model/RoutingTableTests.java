package org.skylarkspring.gateway.model;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RoutingTable}.
 */
class RoutingTableTests {

	private static RouteSpec route(String name, String service, long timeoutMillis, long targetMillis) {
		return new RouteSpec(name, "a", "/" + name + "/", RequestSemantics.STREAM, timeoutMillis, targetMillis, 180, 0,
				List.of(new WeightedService(service, 1)), 1, true);
	}

	private static RoutingTable table(RouteSpec... routes) {
		return new RoutingTable(1, List.of(routes), Map.of(), Map.of(), false, new CallerLimits(1, 1, 1, 1));
	}

	@Nested
	class LongestTargetLatency {

		@Test
		void isThatOfTheSlowestRouteToTheService() {
			RoutingTable table = table(route("r1", "s", 39_000, 4_000), route("r2", "s", 6_000, 1_500),
					route("r3", "t", 39_000, 1_800));
			assertThat(table.longestTargetLatencyMillis("s"), is(4_000L));
			assertThat(table.longestTargetLatencyMillis("t"), is(1_800L));
			assertThat(table.longestTargetLatencyMillis("u"), is(0L));
		}

		// Routes without a target get a default above usual timeouts, which switched
		// admission control on.
		@Test
		void ignoresTargetsThatAreNotBelowTheTimeout() {
			assertThat(table(route("r", "s", 39_000, 60_000)).longestTargetLatencyMillis("s"), is(0L));
		}

	}

}
