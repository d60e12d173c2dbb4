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
class DataCentreDrainTests {

	private static final String DRAINED_DATA_CENTRE = "kigali-a";

	private static final long DRAIN_START_MILLIS = 10_000;

	private static final long DRAIN_PROPAGATION_MILLIS = 3_000;

	private static Simulation startSimulation() {
		Simulation world = new Simulation(Deployment.ingendo(), PolicyVariants.standard(), 8, 0, 100_000);
		new Workload(world, 8, Workload.RetryPolicy.never()).startArrivals();
		world.clock().runUntil(DRAIN_START_MILLIS);
		return world;
	}

	private static long countSubmissions(Simulation world) {
		return world.enginesInDataCentre(DRAINED_DATA_CENTRE).stream().mapToLong(SimulatedEngine::submissions).sum();
	}

	private static long countSubmissionsAfterDrain(Simulation world) {
		world.setDataCentreDraining(DRAINED_DATA_CENTRE, true);
		world.clock().runUntil(DRAIN_START_MILLIS + DRAIN_PROPAGATION_MILLIS);
		long before = countSubmissions(world);
		world.clock().runUntil(DRAIN_START_MILLIS + 30_000);
		return countSubmissions(world) - before;
	}

	@Nested
	class DrainingDataCentre {

		@Test
		void receivesNoNewWorkAfterDrainPropagates() {
			Simulation world = startSimulation();
			assertThat(countSubmissionsAfterDrain(world), is(0L));
		}

		@Test
		void receivesNoNewWorkWhenDrainedDuringStoreOutage() {
			Simulation world = startSimulation();
			world.store().setMode(SimulatedStore.Mode.OUTAGE);
			assertThat(countSubmissionsAfterDrain(world), is(0L));
		}

		@Test
		void completesRunningResponsesWhenDataCentreIsDrained() {
			Simulation world = startSimulation();
			countSubmissionsAfterDrain(world);
			for (WorkClass workClass : WorkClass.values()) {
				assertThat(world.recorder().classStatistics(workClass).interrupted, is(0L));
			}
		}

		@Test
		void receivesNewWorkWhenDataCentreIsNotDrained() {
			Simulation world = startSimulation();
			long before = countSubmissions(world);
			world.clock().runUntil(DRAIN_START_MILLIS + 20_000);
			assertThat(countSubmissions(world) - before, greaterThan(0L));
		}

	}

	@Nested
	class RestoredDataCentre {

		@Test
		void warmsUpGraduallyAfterEnginesRestartAndDataCentreIsRestored() {
			Simulation world = startSimulation();
			countSubmissionsAfterDrain(world);
			world.enginesInDataCentre(DRAINED_DATA_CENTRE).forEach(SimulatedEngine::crash);
			world.clock().runUntil(DRAIN_START_MILLIS + 45_000);
			world.setDataCentreDraining(DRAINED_DATA_CENTRE, false);
			SimulatedEngine engine = world.enginesInDataCentre(DRAINED_DATA_CENTRE).get(0);
			engine.getAndResetPeakSequenceCount();
			world.clock().runUntil(DRAIN_START_MILLIS + 50_000);
			assertThat(engine.getAndResetPeakSequenceCount(),
					lessThanOrEqualTo(Deployment.ingendo().engineProfile().coldBatchSize()));
			world.clock().runUntil(DRAIN_START_MILLIS + 85_000);
			assertThat(engine.getAndResetPeakSequenceCount(),
					greaterThan(Deployment.ingendo().engineProfile().coldBatchSize()));
			assertThat(engine.crashCount(), is(1L));
		}

	}

}
