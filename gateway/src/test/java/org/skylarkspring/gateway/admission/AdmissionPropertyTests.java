package org.skylarkspring.gateway.admission;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Properties of the shares, the queue and the decisions.
 */
class AdmissionPropertyTests {

	private static final String SEED = "37";

	private static final long CAPACITY_TOKENS = 10_000;

	private static AdmissionRequest request(long id, int workspace, long tokens) {
		return new AdmissionRequest(id, "s", "r", "w" + workspace, (int) (id % 2), tokens, 0, 4_000, 20_000);
	}

	@Property(seed = SEED, tries = 500)
	void sharesAddUpToTheRoomAndCoverSmallDemands(
			@ForAll @Size(min = 1, max = 30) List<@IntRange(max = 5_000) Integer> wanted,
			@ForAll @IntRange(min = 1, max = 100_000) int room) {
		Map<String, Long> byWorkspace = new LinkedHashMap<>();
		wanted.forEach((tokens) -> byWorkspace.put("w" + byWorkspace.size(), (long) tokens));
		Map<String, Double> shares = FairShares.divide(room, byWorkspace, (workspace) -> 1 + workspace.length() % 2);
		assertThat(shares.values().stream().mapToDouble(Double::doubleValue).sum(), closeTo(room, 1e-6 * room));
		double totalWeight = byWorkspace.keySet().stream().mapToDouble((name) -> 1 + name.length() % 2).sum();
		byWorkspace.forEach((workspace, tokens) -> assertThat(shares.get(workspace), greaterThanOrEqualTo(
				Math.min(tokens, room * (1 + workspace.length() % 2) / totalWeight) - 1e-6 * room)));
	}

	// Each request leaves the queue once, whatever repeats and ends come in between.
	@Property(seed = SEED, tries = 500)
	void noRequestIsLostOrReturnedTwice(@ForAll Random random, @ForAll @IntRange(min = 1, max = 60) int steps) {
		AdmissionQueue queue = new AdmissionQueue();
		Set<Long> expected = new HashSet<>();
		for (long id = 1; id <= steps; id++) {
			queue.add(request(id, random.nextInt(3), 1 + random.nextInt(100)), "key" + random.nextInt(5));
			expected.add(id);
			if (random.nextInt(3) == 0) {
				long removed = 1 + random.nextInt((int) id);
				boolean waiting = random.nextBoolean() ? queue.removeEnded(removed) : queue.removeDispatched(removed);
				assertThat(waiting, is(expected.remove(removed)));
			}
		}
		List<Long> order = queue.inOrder((request) -> request.workspace().equals("w0"))
			.stream()
			.map(AdmissionRequest::id)
			.toList();
		assertThat(order.size(), is(expected.size()));
		assertThat(new HashSet<>(order), is(expected));
	}

	// A caller has at most one place before the requests of others.
	@Property(seed = SEED, tries = 500)
	void repeatsOfOneRequestStandBehindAllOthers(@ForAll @IntRange(min = 1, max = 20) int repeats,
			@ForAll @IntRange(min = 1, max = 10) int others) {
		AdmissionQueue queue = new AdmissionQueue();
		for (long id = 0; id < repeats; id++) {
			queue.add(request(2 * id, 0, 10), "repeated");
		}
		for (long id = 0; id < others; id++) {
			queue.add(request(1_000 + id, 1, 5_000), "key" + id);
		}
		List<AdmissionRequest> order = queue.inOrder((request) -> false);
		assertThat(order.stream().limit(others + 1L).filter((request) -> request.workspace().equals("w0")).count(),
				is(1L));
		long first = order.stream()
			.filter((request) -> request.workspace().equals("w0"))
			.findFirst()
			.orElseThrow()
			.id();
		queue.removeEnded(first);
		assertThat(queue.inOrder((request) -> false)
			.stream()
			.limit(others + 1L)
			.filter((request) -> request.workspace().equals("w0"))
			.count(), is((repeats > 1) ? 1L : 0L));
	}

	@Property(seed = SEED, tries = 500)
	void nothingWaitsOrIsRefusedWhileServerHasRoom(@ForAll @IntRange(max = 23) int running,
			@ForAll @IntRange(max = (int) CAPACITY_TOKENS) int reserved,
			@ForAll @IntRange(min = 1, max = (int) CAPACITY_TOKENS) int tokens,
			@ForAll @IntRange(max = 30_000) int now) {
		AdmissionControl control = new AdmissionControl(() -> 0.5);
		ServiceRoom.ServerRoom full = new ServiceRoom.ServerRoom("full", 24, 24, 0, CAPACITY_TOKENS, CAPACITY_TOKENS,
				0);
		ServiceRoom.ServerRoom other = new ServiceRoom.ServerRoom("other", 24, running, 0, CAPACITY_TOKENS, reserved,
				0);
		AdmissionDecision decision = control.decide(request(1, 0, tokens),
				new ServiceRoom(List.of(full, other), 24 + running, 48), now);
		if (reserved + tokens <= CAPACITY_TOKENS) {
			assertThat(decision, instanceOf(AdmissionDecision.Admit.class));
			assertThat(decision.reason(), is(AdmissionReason.ROOM));
		}
	}

}
