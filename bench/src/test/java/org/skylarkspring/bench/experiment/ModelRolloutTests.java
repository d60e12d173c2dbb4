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
class ModelRolloutTests {

	private static final String CONFIGURED_VERSION = "v2";

	private static final long END_MILLIS = 900_000;

	private static Simulation startSimulation() {
		Simulation world = new Simulation(Deployment.ingendo().withModelVersion(CONFIGURED_VERSION),
				PolicyVariants.standard(), 4, 0, END_MILLIS);
		new Workload(world, 6, Workload.RetryPolicy.never()).startArrivals();
		return world;
	}

	private static long countLoadingEngines(Simulation world) {
		return world.engines().stream().map(SimulatedEngine::currentReport).filter(LoadReport::loading).count();
	}

	private static boolean isConfiguredVersionLoadedEverywhere(Simulation world) {
		return world.engines()
			.stream()
			.map(SimulatedEngine::currentReport)
			.allMatch((report) -> report.modelVersion().equals(CONFIGURED_VERSION));
	}

	@Nested
	class Rollout {

		@Test
		void loadsConfiguredVersionOnOneServerAtATime() {
			Simulation world = startSimulation();
			long millis = 0;
			while (!isConfiguredVersionLoadedEverywhere(world) && millis < END_MILLIS) {
				millis += 200;
				world.clock().runUntil(millis);
				assertThat("loading at " + millis, countLoadingEngines(world), lessThanOrEqualTo(1L));
			}
			assertThat(isConfiguredVersionLoadedEverywhere(world), is(true));
		}

		@Test
		void continuesRolloutAfterLeaseHolderIsKilled() {
			Simulation world = startSimulation();
			world.clock().runUntil(20_000);
			world.entryInstances().subList(0, 4).forEach(SimulatedEntryInstance::kill);
			world.publishInstances();
			world.clock().runUntil(END_MILLIS);
			assertThat(isConfiguredVersionLoadedEverywhere(world), is(true));
		}

		@Test
		void pausesRolloutDuringStoreOutage() {
			Simulation world = startSimulation();
			world.store().setMode(SimulatedStore.Mode.OUTAGE);
			world.clock().runUntil(60_000);
			assertThat(countLoadingEngines(world), is(0L));
			world.store().setMode(SimulatedStore.Mode.AVAILABLE);
			world.clock().runUntil(END_MILLIS);
			assertThat(isConfiguredVersionLoadedEverywhere(world), is(true));
		}

	}

	@Nested
	class StaleOrders {

		@Test
		void refusesStaleOrderWhenEngineChecksFencingNumber() {
			Simulation world = startSimulation();
			SimulatedEngine engine = world.engines().get(0);
			engine.handleLoadOrder(5, CONFIGURED_VERSION);
			engine.handleLoadOrder(4, "v1");
			assertThat(engine.refusedOrders(), is(1L));
			assertThat(engine.currentReport().modelVersion(), is(CONFIGURED_VERSION));
		}

		@Test
		void reloadsConfiguredVersionWhenEngineIgnoresFencingNumber() {
			Simulation world = startSimulation();
			SimulatedEngine engine = world.engines().get(0);
			engine.ignoreFencingNumbers();
			world.clock().runUntil(END_MILLIS / 2);
			engine.handleLoadOrder(0, "v1");
			world.clock().runUntil(END_MILLIS);
			assertThat(engine.currentReport().modelVersion(), is(CONFIGURED_VERSION));
			assertThat(world.store().callCount(), greaterThan(0L));
			assertThat(engine.submissions(), greaterThanOrEqualTo(1L));
		}

	}

}
