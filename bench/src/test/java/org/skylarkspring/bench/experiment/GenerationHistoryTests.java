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
 * Each token is delivered once, in order, from a single generation.
 */
class GenerationHistoryTests {

	private static final long RUN_MILLIS = 25_000;

	private final Map<SimulatedRequest, List<String>> delivered = new IdentityHashMap<>();

	private World world(int seed) {
		World world = new World(Deployment.ingendo(), Variants.standard(), seed, 0, RUN_MILLIS);
		this.delivered.clear();
		world.recorder()
			.history(
					(request, generation, offset) -> this.delivered.computeIfAbsent(request, (key) -> new ArrayList<>())
						.add(generation + "@" + offset));
		return world;
	}

	private long spoiltAnswers() {
		return this.delivered.values().stream().filter((tokens) -> !inOrderFromOneGeneration(tokens)).count();
	}

	private static boolean inOrderFromOneGeneration(List<String> tokens) {
		String generation = tokens.get(0).substring(0, tokens.get(0).indexOf('@'));
		for (int offset = 0; offset < tokens.size(); offset++) {
			if (!tokens.get(offset).equals(generation + "@" + offset)) {
				return false;
			}
		}
		return true;
	}

	@Property(seed = "23", tries = 12)
	void holdsUnderCrashesCutsAndLateTokens(@ForAll @IntRange(max = 10_000) int seed) {
		World world = world(seed);
		SplittableRandom random = new SplittableRandom(seed);
		world.engines().forEach(EngineActor::ignoreCancel);
		world.time().every(700 * VirtualTime.MILLI, 700 * VirtualTime.MILLI, () -> {
			EngineActor engine = world.engines().get(random.nextInt(world.engines().size()));
			if (random.nextInt(4) == 0) {
				engine.crash();
			}
			else {
				engine.cutStreams();
			}
		});
		new Workload(world, 8, Workload.RetryBehaviour.obedient()).start();
		world.time().runUntil(RUN_MILLIS);
		assertThat(this.delivered.size(), greaterThan(50));
		assertThat(spoiltAnswers(), is(0L));
	}

	@Nested
	class Moves {

		@Test
		void leaveAnswersWholeWhenADataCentreIsTakenOut() {
			World world = world(3);
			new Workload(world, 10, Workload.RetryBehaviour.never()).start();
			world.time().after(5_000 * VirtualTime.MILLI, () -> world.drain("kigali-a", true));
			world.time().runUntil(RUN_MILLIS);
			assertThat(spoiltAnswers(), is(0L));
		}

	}

}
