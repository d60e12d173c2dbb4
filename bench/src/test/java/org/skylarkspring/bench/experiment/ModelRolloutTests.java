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
 * Load commands roll out the configured model version to all engines, one at a time and
 * despite killed entry instances or a store outage. Engines refuse commands of an earlier
 * lease holder.
 */
class ModelRolloutTests {

	private static final String CONFIGURED_VERSION = "v2";

	private static final long END_MILLIS = 900_000;

	private static Simulation startSimulation() {
		Simulation simulation = new Simulation(Deployment.ingendo().withModelVersion(CONFIGURED_VERSION),
				PolicyVariants.standard(), 4, 0, END_MILLIS);
		new Workload(simulation, 6, Workload.RetryPolicy.never()).startArrivals();
		return simulation;
	}

	private static long countLoadingEngines(Simulation simulation) {
		return simulation.engines().stream().map(SimulatedEngine::currentReport).filter(LoadReport::loading).count();
	}

	private static boolean isConfiguredVersionLoadedEverywhere(Simulation simulation) {
		return simulation.engines()
			.stream()
			.map(SimulatedEngine::currentReport)
			.allMatch((report) -> report.modelVersion().equals(CONFIGURED_VERSION));
	}

	@Nested
	class Rollout {

		@Test
		void loadsConfiguredVersionOnOneServerAtATime() {
			Simulation simulation = startSimulation();
			long millis = 0;
			while (!isConfiguredVersionLoadedEverywhere(simulation) && millis < END_MILLIS) {
				millis += 200;
				simulation.clock().runUntil(millis);
				assertThat("engines loading a model at millisecond " + millis, countLoadingEngines(simulation),
						lessThanOrEqualTo(1L));
			}
			assertThat(isConfiguredVersionLoadedEverywhere(simulation), is(true));
		}

		@Test
		void completesRolloutAfterFourOfSixEntryInstancesAreKilled() {
			Simulation simulation = startSimulation();
			simulation.clock().runUntil(20_000);
			simulation.entryInstances().subList(0, 4).forEach(SimulatedEntryInstance::kill);
			simulation.publishInstances();
			simulation.clock().runUntil(END_MILLIS);
			assertThat(isConfiguredVersionLoadedEverywhere(simulation), is(true));
		}

		@Test
		void pausesRolloutDuringStoreOutage() {
			Simulation simulation = startSimulation();
			simulation.store().setMode(SimulatedStore.Mode.OUTAGE);
			simulation.clock().runUntil(60_000);
			assertThat(countLoadingEngines(simulation), is(0L));
			simulation.store().setMode(SimulatedStore.Mode.AVAILABLE);
			simulation.clock().runUntil(END_MILLIS);
			assertThat(isConfiguredVersionLoadedEverywhere(simulation), is(true));
		}

	}

	@Nested
	class StaleCommands {

		@Test
		void refusesStaleCommandWhenEngineChecksFencingNumber() {
			Simulation simulation = startSimulation();
			SimulatedEngine engine = simulation.engines().get(0);
			engine.handleLoadCommand(5, CONFIGURED_VERSION);
			engine.handleLoadCommand(4, "v1");
			assertThat(engine.refusedCommands(), is(1L));
			assertThat(engine.currentReport().modelVersion(), is(CONFIGURED_VERSION));
		}

		@Test
		void reloadsConfiguredVersionWhenEngineIgnoresFencingNumber() {
			Simulation simulation = startSimulation();
			SimulatedEngine engine = simulation.engines().get(0);
			engine.ignoreFencingNumbers();
			simulation.clock().runUntil(END_MILLIS / 2);
			engine.handleLoadCommand(0, "v1");
			simulation.clock().runUntil(END_MILLIS);
			assertThat(engine.currentReport().modelVersion(), is(CONFIGURED_VERSION));
			assertThat(simulation.store().callCount(), greaterThan(0L));
			assertThat(engine.submissions(), greaterThanOrEqualTo(1L));
		}

	}

}
