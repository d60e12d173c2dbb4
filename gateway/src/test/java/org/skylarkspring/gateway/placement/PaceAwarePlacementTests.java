package org.skylarkspring.gateway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.RequestSemantics;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.model.WeightedService;
import org.skylarkspring.gateway.pace.ServerPace;
import org.skylarkspring.gateway.pace.ServicePaces;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Plays long and short generations on servers of which a quarter works twice as fast as
 * the others, with the cost before and with {@link PlacementCostFunctions#paceAware}.
 */
class PaceAwarePlacementTests {

	private static final long KV_CAPACITY_TOKENS = 26_800;

	private static final int SERVERS = 12;

	private static final double FAST_FACTOR = 0.67;

	private static final double SLOW_FACTOR = 1.47;

	private static final RouteSpec ROUTE = new RouteSpec("r", "a", "/", RequestSemantics.STREAM, 39_000, 1_800, 180, 0,
			List.of(new WeightedService("s", 1)), 1, true);

	private static final ServiceSpec SERVICE = new ServiceSpec("s", 0,
			Optional.of(new EngineSpec(24, KV_CAPACITY_TOKENS, true, true)));

	private static final PlacementRequest LONG = new PlacementRequest(SERVICE, ROUTE, 3_750, 3_000, 3_000, 39_000);

	private static final PlacementRequest SHORT = new PlacementRequest(SERVICE, ROUTE, 2_208, 2_200, 2_200, 6_000);

	private final long[] reservedTokens = new long[SERVERS];

	private final int[] running = new int[SERVERS];

	private static boolean isFast(int server) {
		return server % 4 == 0;
	}

	private static ServicePaces paces() {
		Map<String, ServerPace> servers = IntStream.range(0, SERVERS)
			.boxed()
			.collect(Collectors.toMap(String::valueOf, (server) -> {
				double factor = isFast(server) ? FAST_FACTOR : SLOW_FACTOR;
				return new ServerPace(factor, factor, 10, 0);
			}));
		return new ServicePaces(1.27, servers, java.util.OptionalDouble.of(28), java.util.OptionalDouble.of(75));
	}

	private PlacementCandidate candidate(int server, Optional<RemoteDataCentreState> remoteDataCentre) {
		return new PlacementCandidate(String.valueOf(server), remoteDataCentre.isEmpty(), this.running[server], 24,
				this.reservedTokens[server], 0, KV_CAPACITY_TOKENS, 0, false, false, remoteDataCentre);
	}

	private int place(PlacementCostFunction cost, PlacementRequest request) {
		int server = IntStream.range(0, SERVERS)
			.boxed()
			.min(Comparator
				.comparingDouble((id) -> cost.cost(candidate(id, Optional.empty()), request, Optional.of(paces()))))
			.orElseThrow();
		this.reservedTokens[server] += request.reservedTokens();
		this.running[server]++;
		return server;
	}

	private void end(int server, PlacementRequest request) {
		this.reservedTokens[server] -= request.reservedTokens();
		this.running[server]--;
	}

	// Long generations end after a time that depends on the pace of their server.
	private double playLongGenerations(PlacementCostFunction cost, int perSecond) {
		List<long[]> active = new ArrayList<>();
		Random random = new Random(11);
		int onFast = 0;
		int total = 0;
		for (long now = 0; now < 30_000; now += 1_000 / perSecond) {
			long time = now;
			active.stream().filter((run) -> run[1] <= time).forEach((run) -> end((int) run[0], LONG));
			active.removeIf((run) -> run[1] <= time);
			int server = place(cost, LONG);
			long duration = (long) ((isFast(server) ? 3_300 : 7_300) * (0.5 + random.nextDouble()));
			active.add(new long[] { server, now + duration });
			total++;
			onFast += isFast(server) ? 1 : 0;
		}
		return (double) onFast / total;
	}

	@Nested
	class LongGenerations {

		@Test
		void runOnFastServersAsFarAsTheseHaveMemory() {
			double before = playLongGenerations(PlacementCostFunctions.leastLoaded(), 4);
			assertThat(before, lessThan(0.6));
			assertThat(new PaceAwarePlacementTests().playLongGenerations(PlacementCostFunctions.paceAware(), 4),
					greaterThan(0.9));
		}

		@Test
		void useSlowServersRatherThanOverfillFastOnes() {
			playLongGenerations(PlacementCostFunctions.paceAware(), 10);
			long fullest = IntStream.range(0, SERVERS)
				.mapToLong((server) -> PaceAwarePlacementTests.this.reservedTokens[server])
				.max()
				.orElseThrow();
			assertThat(fullest, lessThanOrEqualTo(KV_CAPACITY_TOKENS));
		}

	}

	@Nested
	class ShortGenerations {

		@Test
		void leaveFastServersToLongOnesWhileThoseAreBusy() {
			IntStream.range(0, 15).forEach((i) -> place(PlacementCostFunctions.paceAware(), LONG));
			assertThat(isFast(place(PlacementCostFunctions.paceAware(), SHORT)), is(false));
		}

		@Test
		void avoidSlowServersThatRunLongOnes() {
			PaceAwarePlacementTests.this.running[1] = 3;
			PlacementCostFunction cost = PlacementCostFunctions.paceAware();
			double busy = cost.cost(candidate(1, Optional.empty()), SHORT, Optional.of(paces()));
			double idle = cost.cost(candidate(2, Optional.empty()), SHORT, Optional.of(paces()));
			assertThat(busy - idle, greaterThan(0.2));
		}

	}

	@Nested
	class OtherDataCentres {

		private final PlacementCostFunction cost = PlacementCostFunctions.paceAware();

		private double remote(int server, long spareTokens, boolean netImporter, long millisSinceResponse,
				PlacementRequest request) {
			return this.cost.cost(
					candidate(server,
							Optional.of(new RemoteDataCentreState(millisSinceResponse, spareTokens, netImporter))),
					request, Optional.of(paces()));
		}

		private double home(int server, PlacementRequest request) {
			return this.cost.cost(candidate(server, Optional.empty()), request, Optional.of(paces()));
		}

		@Test
		void longGenerationLeavesForAFastServer() {
			assertThat(remote(0, 100_000, false, 100, LONG), lessThan(home(1, LONG)));
		}

		@Test
		void shortGenerationStaysWhileThereIsRoom() {
			assertThat(remote(1, 100_000, false, 100, SHORT), greaterThan(home(2, SHORT)));
		}

		@Test
		void leavingCostsMoreWithoutRoomThereAfterSilenceAndForANetImporter() {
			double usual = remote(0, 100_000, false, 100, LONG);
			assertThat(remote(0, 0, false, 100, LONG), greaterThan(usual + 0.3));
			assertThat(remote(0, 100_000, false, 20_000, LONG), greaterThan(usual + 0.1));
			assertThat(remote(0, 100_000, true, 100, LONG), greaterThan(usual + 0.1));
		}

	}

	@Nested
	class ServicesWithoutPace {

		@Test
		void areServedAsBefore() {
			Random random = new Random(5);
			for (int i = 0; i < 1_000; i++) {
				PlacementCandidate any = new PlacementCandidate("s", random.nextBoolean(), random.nextInt(24), 24,
						random.nextInt(30_000), random.nextInt(9_000), KV_CAPACITY_TOKENS, random.nextDouble(),
						random.nextBoolean(), random.nextBoolean(), Optional.empty());
				assertThat(PlacementCostFunctions.paceAware().cost(any, LONG, Optional.empty()),
						is(PlacementCostFunctions.leastLoaded().cost(any, LONG, Optional.empty())));
			}
		}

	}

}
