package org.skylarkspring.bench.experiment;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.model.WorkClass;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * A data centre that was taken out receives no new work within a few seconds, comes back
 * by a ramp, and loses no running answer.
 */
class DrainTests {

	private static final String CENTRE = "kigali-a";

	private static final long DRAIN_MILLIS = 10_000;

	private static final long FEW_SECONDS_MILLIS = 3_000;

	private static World world() {
		World world = new World(Deployment.ingendo(), Variants.standard(), 8, 0, 100_000);
		new Workload(world, 8, Workload.RetryBehaviour.never()).start();
		world.time().runUntil(DRAIN_MILLIS);
		return world;
	}

	private static long submissions(World world) {
		return world.enginesOf(CENTRE).stream().mapToLong(EngineActor::submissions).sum();
	}

	private static long newWorkAfterDrain(World world) {
		world.drain(CENTRE, true);
		world.time().runUntil(DRAIN_MILLIS + FEW_SECONDS_MILLIS);
		long before = submissions(world);
		world.time().runUntil(DRAIN_MILLIS + 30_000);
		return submissions(world) - before;
	}

	@Nested
	class TakenOut {

		@Test
		void receivesNoNewWork() {
			World world = world();
			assertThat(newWorkAfterDrain(world), is(0L));
		}

		@Test
		void receivesNoNewWorkDuringAStoreOutage() {
			World world = world();
			world.store().mode(StoreActor.Mode.OUTAGE);
			assertThat(newWorkAfterDrain(world), is(0L));
		}

		@Test
		void finishesItsRunningAnswers() {
			World world = world();
			newWorkAfterDrain(world);
			for (WorkClass workClass : WorkClass.values()) {
				assertThat(world.recorder().of(workClass).interrupted, is(0L));
			}
		}

		@Test
		void receivesWorkWithoutTheOrder() {
			World world = world();
			long before = submissions(world);
			world.time().runUntil(DRAIN_MILLIS + 20_000);
			assertThat(submissions(world) - before, greaterThan(0L));
		}

	}

	@Nested
	class TakenBack {

		@Test
		void comesBackByARampAfterItsRestart() {
			World world = world();
			newWorkAfterDrain(world);
			world.enginesOf(CENTRE).forEach(EngineActor::crash);
			world.time().runUntil(DRAIN_MILLIS + 45_000);
			world.drain(CENTRE, false);
			EngineActor engine = world.enginesOf(CENTRE).get(0);
			engine.takeHighestLoad();
			world.time().runUntil(DRAIN_MILLIS + 50_000);
			assertThat(engine.takeHighestLoad(), lessThanOrEqualTo(Deployment.ingendo().profile().coldBatch()));
			world.time().runUntil(DRAIN_MILLIS + 85_000);
			assertThat(engine.takeHighestLoad(), greaterThan(Deployment.ingendo().profile().coldBatch()));
			assertThat(engine.failures(), is(1L));
		}

	}

}
