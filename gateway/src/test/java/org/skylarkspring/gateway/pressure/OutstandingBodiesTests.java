package org.skylarkspring.gateway.pressure;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.peer.PeerDigest;
import org.skylarkspring.gateway.placement.PlacementRequest;
import org.skylarkspring.gateway.placement.ServerUse;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests {@link OutstandingBodies}. Servers must not crash because many instances send
 * them large bodies at once, and usual traffic must not be affected.
 */
class OutstandingBodiesTests {

	private static final ServerRegistration SERVER = server("i-1", 1);

	private static final long MEGABYTE = 1024 * 1024;

	private static final int INSTANCES = 90;

	private final OutstandingBodies bodies = new OutstandingBodies();

	private static ServerRegistration server(String id, long incarnation) {
		return new ServerRegistration(id, "s", "127.0.0.1:1", "dc-1", 24, false, 0, incarnation);
	}

	private BodyDecision decide(long bytes, long nowMillis) {
		return this.bodies.decide(SERVER, bytes, nowMillis);
	}

	private static void sendBodies(OutstandingBodies instance, int count, long bytes, long nowMillis) {
		IntStream.range(0, count).forEach((number) -> instance.recordSent(SERVER, bytes, nowMillis));
	}

	@Nested
	class Bounds {

		@Test
		void usualTrafficIsNeverRestricted() {
			sendBodies(OutstandingBodiesTests.this.bodies, 96, 100 * 1024, 0);
			assertThat(decide(200 * 1024, 0), is(new BodyDecision.Allowed()));
		}

		@Test
		void bodiesOfAllInstancesCountTogether() {
			List<OutstandingBodies> others = Stream.generate(OutstandingBodies::new).limit(INSTANCES).toList();
			others.forEach((other) -> sendBodies(other, 1, MEGABYTE / 2, 0));
			PeerDigest sum = PeerDigest.sum(others.stream().map((other) -> other.ownDigest(0)));
			OutstandingBodiesTests.this.bodies.onPeerDigest(sum, 0);
			assertThat(decide(MEGABYTE, 1),
					is(new BodyDecision.Exceeded(INSTANCES * MEGABYTE / 2, MEGABYTE, BodyBounds.DEFAULT_BOUND_BYTES)));
			assertThat(OutstandingBodiesTests.this.bodies.decide(server("i-2", 1), MEGABYTE, 1),
					is(new BodyDecision.Allowed()));
		}

		@Test
		void sumsOfOtherInstancesExpire() {
			OutstandingBodiesTests.this.bodies
				.onPeerDigest(new PeerDigest(null, null, null, List.of(new ServerBodies("i-1", 100 * MEGABYTE))), 0);
			assertThat(decide(MEGABYTE, OutstandingBodies.PEER_SUMS_TTL_MILLIS - 1),
					instanceOf(BodyDecision.Exceeded.class));
			assertThat(decide(MEGABYTE, OutstandingBodies.PEER_SUMS_TTL_MILLIS), is(new BodyDecision.Allowed()));
		}

		@Test
		void smallBodyGoesToAnyServer() {
			sendBodies(OutstandingBodiesTests.this.bodies, 100, MEGABYTE, 0);
			assertThat(decide(OutstandingBodies.LARGE_BODY_BYTES - 1, 0), is(new BodyDecision.Allowed()));
			assertThat(decide(OutstandingBodies.LARGE_BODY_BYTES, 0), instanceOf(BodyDecision.Exceeded.class));
		}

		@Test
		void endedRequestsAreNotCounted() {
			sendBodies(OutstandingBodiesTests.this.bodies, 100, MEGABYTE, 0);
			IntStream.range(0, 100)
				.forEach((number) -> OutstandingBodiesTests.this.bodies.recordEnded(SERVER, MEGABYTE, 10));
			assertThat(OutstandingBodiesTests.this.bodies.heldBytes("i-1", 10), is(0L));
			assertThat(decide(MEGABYTE, 10), is(new BodyDecision.Allowed()));
		}

		@Test
		void objectionNamesTheFigures() {
			sendBodies(OutstandingBodiesTests.this.bodies, 40, MEGABYTE, 0);
			PlacementRequest request = new PlacementRequest(null, null, 0, 0, MEGABYTE, 1_000);
			assertThat(
					OutstandingBodiesTests.this.bodies.findObjection(new ServerUse(SERVER, request, Optional.empty()),
							0),
					is(Optional.of("server holds 41943040 bytes of bodies, with another 1048576 more than 33554432")));
		}

	}

	@Nested
	class Digests {

		@Test
		void instanceWithSmallBodiesReportsNothing() {
			sendBodies(OutstandingBodiesTests.this.bodies, 5, 3 * 1024, 0);
			assertThat(OutstandingBodiesTests.this.bodies.ownDigest(0), is(PeerDigest.EMPTY));
		}

		@Test
		void endedBodiesAreForgotten() {
			sendBodies(OutstandingBodiesTests.this.bodies, 1, MEGABYTE, 0);
			assertThat(OutstandingBodiesTests.this.bodies.ownDigest(0).serverBodies(),
					is(List.of(new ServerBodies("i-1", MEGABYTE))));
			OutstandingBodiesTests.this.bodies.recordEnded(SERVER, MEGABYTE, 10);
			assertThat(OutstandingBodiesTests.this.bodies.ownDigest(10 + OutstandingBodies.PEAK_RETENTION_MILLIS),
					is(PeerDigest.EMPTY));
			assertThat(OutstandingBodiesTests.this.bodies.largestHeldBytes(0), is(0L));
		}

	}

	@Nested
	class Crashes {

		private OptionalLong crashHolding(long bytes, long nowMillis) {
			OutstandingBodiesTests.this.bodies.recordSent(SERVER, bytes, nowMillis);
			OutstandingBodiesTests.this.bodies.recordEnded(SERVER, bytes, nowMillis);
			return OutstandingBodiesTests.this.bodies.recordCrash(SERVER.incarnation(), nowMillis + 200);
		}

		@Test
		void crashUnderLargeBodiesLowersTheBoundOfTheService() {
			assertThat(crashHolding(16 * MEGABYTE, 0), is(OptionalLong.of(12 * MEGABYTE)));
			assertThat(OutstandingBodiesTests.this.bodies.decide(server("i-2", 1), 13 * MEGABYTE, 200),
					instanceOf(BodyDecision.Exceeded.class));
			assertThat(OutstandingBodiesTests.this.bodies.decide(server("i-2", 1), 11 * MEGABYTE, 200),
					is(new BodyDecision.Allowed()));
		}

		@Test
		void reportOfTheSameCrashLowersTheBoundOnce() {
			crashHolding(16 * MEGABYTE, 0);
			assertThat(OutstandingBodiesTests.this.bodies.recordCrash(SERVER.incarnation(), 300),
					is(OptionalLong.empty()));
		}

		@Test
		void crashUnderUsualLoadChangesNothing() {
			assertThat(crashHolding(BodyBounds.MINIMUM_CRASH_BYTES - 1, 0), is(OptionalLong.empty()));
			assertThat(OutstandingBodiesTests.this.bodies.recordCrash(server("unknown", 1).incarnation(), 0),
					is(OptionalLong.empty()));
		}

		@Test
		void crashLongAfterTheBodiesChangesNothing() {
			OutstandingBodiesTests.this.bodies.recordSent(SERVER, 16 * MEGABYTE, 0);
			OutstandingBodiesTests.this.bodies.recordEnded(SERVER, 16 * MEGABYTE, 0);
			assertThat(OutstandingBodiesTests.this.bodies.recordCrash(SERVER.incarnation(),
					OutstandingBodies.PEAK_RETENTION_MILLIS), is(OptionalLong.empty()));
		}

		@Test
		void loweredBoundRisesToTheDefault() {
			BodyBounds bounds = new BodyBounds();
			bounds.recordCrash("s", 16 * MEGABYTE, 0);
			assertThat(bounds.boundBytes("s", 0), is(12 * MEGABYTE));
			assertThat(bounds.boundBytes("s", BodyBounds.DOUBLING_MILLIS), is(24 * MEGABYTE));
			assertThat(bounds.boundBytes("s", 2 * BodyBounds.DOUBLING_MILLIS), is(BodyBounds.DEFAULT_BOUND_BYTES));
			assertThat(bounds.boundBytes("s", Long.MAX_VALUE / 2), is(BodyBounds.DEFAULT_BOUND_BYTES));
		}

		@Test
		void repeatedCrashesFindTheMemoryOfTheServers() {
			long memory = 10 * MEGABYTE;
			BodyBounds bounds = new BodyBounds();
			int crashes = 0;
			while (bounds.boundBytes("s", 0) > memory) {
				bounds.recordCrash("s", bounds.boundBytes("s", 0), 0);
				crashes++;
			}
			assertThat(crashes, lessThanOrEqualTo(5));
			assertThat(bounds.boundBytes("s", 0), greaterThan(memory / 2));
		}

	}

}
