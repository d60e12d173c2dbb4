package org.skylarkspring.bench.experiment;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Each token is delivered once, in order and from a single generation, even if engines
 * crash, connections break or cancelled generations still deliver tokens.
 */
class TokenDeliveryTests {

	private static final long RUN_MILLIS = 25_000;

	private final Map<SimulatedRequest, List<String>> deliveredTokens = new IdentityHashMap<>();

	private Simulation createSimulation(int seed) {
		Simulation simulation = new Simulation(Deployment.ingendo(), PolicyVariants.standard(), seed, 0, RUN_MILLIS);
		this.deliveredTokens.clear();
		simulation.recorder()
			.setDeliveryListener((request, generation, offset) -> this.deliveredTokens
				.computeIfAbsent(request, (key) -> new ArrayList<>())
				.add(generation + "@" + offset));
		return simulation;
	}

	private long countInvalidResponses() {
		return this.deliveredTokens.values().stream().filter((tokens) -> !isOrderedFromOneGeneration(tokens)).count();
	}

	private static boolean isOrderedFromOneGeneration(List<String> tokens) {
		String generation = tokens.get(0).substring(0, tokens.get(0).indexOf('@'));
		for (int offset = 0; offset < tokens.size(); offset++) {
			if (!tokens.get(offset).equals(generation + "@" + offset)) {
				return false;
			}
		}
		return true;
	}

	@Property(seed = "23", tries = 12)
	void deliversTokensOnceInOrderDespiteCrashesDisconnectsAndLateTokens(@ForAll @IntRange(max = 10_000) int seed) {
		Simulation simulation = createSimulation(seed);
		SplittableRandom random = new SplittableRandom(seed);
		simulation.engines().forEach(SimulatedEngine::ignoreCancellation);
		simulation.clock()
			.schedulePeriodically(700 * VirtualClock.MICROS_PER_MILLI, 700 * VirtualClock.MICROS_PER_MILLI, () -> {
				SimulatedEngine engine = simulation.engines().get(random.nextInt(simulation.engines().size()));
				if (random.nextInt(4) == 0) {
					engine.crash();
				}
				else {
					engine.disconnectStreams();
				}
			});
		new Workload(simulation, 8, Workload.RetryPolicy.honouringRetryAfter()).startArrivals();
		simulation.clock().runUntil(RUN_MILLIS);
		assertThat(this.deliveredTokens.size(), greaterThan(50));
		assertThat(countInvalidResponses(), is(0L));
	}

	@Nested
	class DrainingDataCentre {

		@Test
		void deliversTokensOnceInOrderWhenDataCentreIsDrained() {
			Simulation simulation = createSimulation(3);
			new Workload(simulation, 10, Workload.RetryPolicy.never()).startArrivals();
			simulation.clock()
				.schedule(5_000 * VirtualClock.MICROS_PER_MILLI,
						() -> simulation.setDataCentreDraining("kigali-a", true));
			simulation.clock().runUntil(RUN_MILLIS);
			assertThat(countInvalidResponses(), is(0L));
		}

	}

}
