package org.skylarkspring.gateway.admission;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.peer.PeerDigest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link AdmissionControl}.
 */
class AdmissionControlTests {

	private static final long NOW_MILLIS = 100_000;

	private static final int SLOTS = 24;

	private static final long CAPACITY_TOKENS = 10_000;

	private static final long TOKENS = 3_000;

	private double random = 0.5;

	private final AdmissionControl control = new AdmissionControl(() -> this.random);

	private static AdmissionRequest request(long id, String workspace, int priority, long tokens, long deadlineMillis) {
		return new AdmissionRequest(id, "s", "r", workspace, priority, tokens, NOW_MILLIS, 4_000, deadlineMillis);
	}

	private static AdmissionRequest request(long id) {
		return request(id, "w", 0, TOKENS, NOW_MILLIS + 20_000);
	}

	private static ServiceRoom.ServerRoom server(String id, int peerRequests, long peerTokens) {
		return new ServiceRoom.ServerRoom(id, SLOTS, 0, peerRequests, CAPACITY_TOKENS, 0, peerTokens);
	}

	private static ServiceRoom room(ServiceRoom.ServerRoom... servers) {
		return new ServiceRoom(List.of(servers),
				List.of(servers).stream().mapToInt(ServiceRoom.ServerRoom::peerRequests).sum(), SLOTS * servers.length);
	}

	private static WorkspaceDemand ended(String workspace, long runningTokens, long waitingTokens, long requests,
			long releasedTokens) {
		return new WorkspaceDemand("s", "r", workspace, runningTokens, 0, waitingTokens, requests, releasedTokens, 0,
				0);
	}

	// The sums have been gathered for the whole window, and are current.
	private void reportPeers(WorkspaceDemand... entries) {
		PeerDigest digest = new PeerDigest(null, null, List.of(entries), null);
		this.control.onPeerDigest(digest, NOW_MILLIS - DemandTable.WINDOW_MILLIS);
		this.control.onPeerDigest(digest, NOW_MILLIS);
	}

	private AdmissionDecision decide(AdmissionRequest request, ServiceRoom room) {
		return this.control.decide(request, room, NOW_MILLIS);
	}

	@Nested
	class Room {

		@Test
		void requestIsAdmittedToTheServersThatHaveRoom() {
			AdmissionDecision decision = decide(request(1), room(server("full", 5, 8_000), server("free", 5, 7_000)));
			assertThat(decision.reason(), is(AdmissionReason.ROOM));
			assertThat(((AdmissionDecision.Admit) decision).fullServers(), is(Set.of("full")));
		}

		@Test
		void serverWithoutFreeSlotHasNoRoom() {
			assertThat(decide(request(1), room(server("a", SLOTS, 0))), instanceOf(AdmissionDecision.Wait.class));
		}

		@Test
		void requestLargerThanTheCapacityIsAdmittedToIdleServer() {
			AdmissionRequest large = request(1, "w", 0, 2 * CAPACITY_TOKENS, NOW_MILLIS + 20_000);
			assertThat(decide(large, room(server("a", 0, 0))).reason(), is(AdmissionReason.ROOM));
		}

		@Test
		void requestWaitsNoLongerThanItCanStillBeServedInTime() {
			ServiceRoom full = room(server("a", 20, 9_000));
			long until = ((AdmissionDecision.Wait) decide(request(1), full)).untilMillis();
			assertThat(until, lessThanOrEqualTo(NOW_MILLIS + 4_000));
			AdmissionDecision later = AdmissionControlTests.this.control.decide(request(1), full, until);
			assertThat(later, instanceOf(AdmissionDecision.Admit.class));
			assertThat(later.reason(), is(AdmissionReason.LATE));
		}

		// Engines start what they have queued before what instances hold.
		@Test
		void requestDoesNotWaitHereWhileEnginesHaveQueues() {
			assertThat(decide(request(1), room(server("a", 30, 12_000))).reason(), is(AdmissionReason.ENGINE_QUEUE));
		}

		// Loads of others that are out of date must not hold a request.
		@Test
		void loadsOfOthersCountLessTheOlderTheyAre() {
			reportPeers();
			ServiceRoom full = room(server("a", 20, 9_000));
			assertThat(decide(request(1), full), instanceOf(AdmissionDecision.Wait.class));
			assertThat(AdmissionControlTests.this.control.decide(request(1), full, NOW_MILLIS + 1_900).reason(),
					is(AdmissionReason.ROOM));
		}

	}

	@Nested
	class Refusals {

		private final AdmissionRequest urgent = request(1, "w", 0, TOKENS, NOW_MILLIS + 4_000);

		private void reportSlowRelease() {
			reportPeers(ended("w", 40_000, 0, 100, 10_000));
		}

		@Test
		void requestIsRefusedIfNoServerHasRoomBeforeItsDeadline() {
			reportSlowRelease();
			assertThat(decide(this.urgent, room(server("a", 20, 40_000))).reason(),
					is(AdmissionReason.DEADLINE_UNREACHABLE));
		}

		@Test
		void requestIsNotRefusedWhileLessThanHalfOfTheSlotsAreTaken() {
			reportSlowRelease();
			assertThat(decide(this.urgent, room(server("a", 11, 40_000))),
					not(instanceOf(AdmissionDecision.Refuse.class)));
			assertThat(decide(this.urgent, room(server("a", 12, 40_000))), instanceOf(AdmissionDecision.Refuse.class));
		}

		@Test
		void requestIsNotRefusedIfItCanBeServedLate() {
			reportPeers(ended("w", 40_000, 0, 100, 200_000));
			assertThat(decide(request(1), room(server("a", 20, 100_000))).reason(), is(AdmissionReason.LATE));
		}

		@Test
		void requestIsNotRefusedOnStaleOrUnknownRates() {
			assertThat(decide(this.urgent, room(server("a", 20, 40_000))),
					not(instanceOf(AdmissionDecision.Refuse.class)));
			reportSlowRelease();
			assertThat(AdmissionControlTests.this.control.decide(this.urgent, room(server("a", 60, 400_000)),
					NOW_MILLIS + 1_500), not(instanceOf(AdmissionDecision.Refuse.class)));
		}

		@Test
		void callersReturnAtDifferentTimesAndNoLaterThanTheyObey() {
			reportSlowRelease();
			ServiceRoom full = room(server("a", 20, 40_000));
			List<Long> delays = IntStream.range(0, 10).mapToObj((index) -> {
				AdmissionControlTests.this.random = index / 10.0;
				return AdmissionControlTests.this.control.retryAfterMillis(this.urgent, full, NOW_MILLIS);
			}).toList();
			delays.forEach((millis) -> {
				assertThat(millis, greaterThanOrEqualTo(100L));
				assertThat(millis, lessThanOrEqualTo(4_000L / 3));
			});
			assertThat(delays.stream().distinct().count(), is(10L));
		}

	}

	@Nested
	class Shares {

		@Test
		void workspaceAboveItsShareIsDeferredWithoutRoomOnly() {
			reportPeers(ended("hot", 9_000, 0, 100, 200_000), ended("w", 1_000, 8_000, 0, 0));
			AdmissionRequest hot = request(1, "hot", 0, TOKENS, NOW_MILLIS + 20_000);
			AdmissionDecision decision = decide(hot, room(server("a", 30, 12_000)));
			assertThat(decision.reason(), is(AdmissionReason.ABOVE_SHARE));
			assertThat(((AdmissionDecision.Admit) decision).isDeferred(), is(true));
			assertThat(decide(request(2), room(server("a", 30, 12_000))).reason(), is(AdmissionReason.ENGINE_QUEUE));
			assertThat(decide(hot, room(server("a", 3, 7_000))).reason(), is(AdmissionReason.ROOM));
		}

		@Test
		void waitingRequestsAreOrderedByPriorityShareValueAndDeadline() {
			reportPeers(ended("hot", 9_000, 0, 0, 0), ended("w", 1_000, 8_000, 0, 0));
			List<AdmissionRequest> requests = List.of(request(1, "hot", 0, 1_000, NOW_MILLIS + 9_000),
					request(2, "w", 1, 1_000, NOW_MILLIS + 9_000), request(3, "w", 0, 2_000, NOW_MILLIS + 9_000),
					request(4, "w", 0, 1_000, NOW_MILLIS + 9_000), request(5, "w", 0, 1_000, NOW_MILLIS + 8_000));
			requests.forEach((request) -> AdmissionControlTests.this.control.addWaiting(request, "id" + request.id()));
			List<Long> order = AdmissionControlTests.this.control
				.waitingInOrder((request) -> room(server("a", 20, 10_000)), NOW_MILLIS)
				.stream()
				.map(AdmissionRequest::id)
				.toList();
			assertThat(order, contains(5L, 4L, 3L, 1L, 2L));
		}

	}

	@Nested
	class Digest {

		@Test
		void demandIsReportedUntilTheRequestEnds() {
			AdmissionRequest waiting = request(1);
			AdmissionControlTests.this.control.addWaiting(waiting, "id");
			WorkspaceDemand own = AdmissionControlTests.this.control.ownDigest(NOW_MILLIS).workspaceDemand().get(0);
			assertThat(own.waitingTokens(), is(TOKENS));
			assertThat(AdmissionControlTests.this.control.recordEnd(1, NOW_MILLIS), is(true));
			assertThat(AdmissionControlTests.this.control.ownDigest(NOW_MILLIS).isEmpty(), is(true));
		}

		// Entries of another version or with impossible numbers must not count.
		@Test
		void malformedEntriesAreIgnored() {
			PeerDigest digest = PeerDigest.sum(List.of(new PeerDigest(null, null,
					List.of(new WorkspaceDemand(null, "r", "w", 1, 0, 1, 1, 1, 1, 1), ended("w", -1, 0, 0, 0)), null))
				.stream());
			assertThat(digest.isEmpty(), is(true));
		}

	}

}
