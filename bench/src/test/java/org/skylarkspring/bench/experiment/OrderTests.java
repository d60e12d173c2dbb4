package org.skylarkspring.bench.experiment;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.model.LoadReport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Orders to engines come from one holder, leave enough servers serving and reach the
 * configured state.
 */
class OrderTests {

	private static final String VERSION = "v2";

	private static final long END_MILLIS = 900_000;

	private static World world() {
		World world = new World(Deployment.ingendo().withModelVersion(VERSION), Variants.standard(), 4, 0, END_MILLIS);
		new Workload(world, 6, Workload.RetryBehaviour.never()).start();
		return world;
	}

	private static long loading(World world) {
		return world.engines().stream().map(EngineActor::currentReport).filter(LoadReport::loading).count();
	}

	private static boolean allLoaded(World world) {
		return world.engines()
			.stream()
			.map(EngineActor::currentReport)
			.allMatch((report) -> report.modelVersion().equals(VERSION));
	}

	@Nested
	class Rollout {

		@Test
		void reachesEveryServerOneAtATime() {
			World world = world();
			long millis = 0;
			while (!allLoaded(world) && millis < END_MILLIS) {
				millis += 200;
				world.time().runUntil(millis);
				assertThat("loading at " + millis, loading(world), lessThanOrEqualTo(1L));
			}
			assertThat(allLoaded(world), is(true));
		}

		@Test
		void goesOnAfterTheHolderDies() {
			World world = world();
			world.time().runUntil(20_000);
			world.entries().subList(0, 4).forEach(EntryActor::kill);
			world.publishList();
			world.time().runUntil(END_MILLIS);
			assertThat(allLoaded(world), is(true));
		}

		@Test
		void waitsWhileTheStoreIsOut() {
			World world = world();
			world.store().mode(StoreActor.Mode.OUTAGE);
			world.time().runUntil(60_000);
			assertThat(loading(world), is(0L));
			world.store().mode(StoreActor.Mode.SOUND);
			world.time().runUntil(END_MILLIS);
			assertThat(allLoaded(world), is(true));
		}

	}

	@Nested
	class LateOrders {

		@Test
		void areRefusedByEnginesThatCheckTheFencingNumber() {
			World world = world();
			EngineActor engine = world.engines().get(0);
			engine.order(5, VERSION);
			engine.order(4, "v1");
			assertThat(engine.refusedOrders(), is(1L));
			assertThat(engine.currentReport().modelVersion(), is(VERSION));
		}

		@Test
		void areOrderedAgainAtEnginesThatDoNot() {
			World world = world();
			EngineActor engine = world.engines().get(0);
			engine.ignoreFencing();
			world.time().runUntil(END_MILLIS / 2);
			engine.order(0, "v1");
			world.time().runUntil(END_MILLIS);
			assertThat(engine.currentReport().modelVersion(), is(VERSION));
			assertThat(world.store().calls(), greaterThan(0L));
			assertThat(engine.submissions(), greaterThanOrEqualTo(1L));
		}

	}

}
