package org.skylarkspring.bench.experiment;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.model.WorkClass;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * A drained data centre stops receiving new work within a few seconds, completes its
 * running responses, and warms up gradually after it is restored.
 */
class DataCentreDrainTests {

	private static final String DRAINED_DATA_CENTRE = "kigali-a";

	private static final long DRAIN_START_MILLIS = 10_000;

	private static final long DRAIN_PROPAGATION_MILLIS = 3_000;

	private static Simulation startSimulation() {
		Simulation simulation = new Simulation(Deployment.ingendo(), PolicyVariants.standard(), 8, 0, 100_000);
		new Workload(simulation, 8, Workload.RetryPolicy.never()).startArrivals();
		simulation.clock().runUntil(DRAIN_START_MILLIS);
		return simulation;
	}

	private static long countSubmissions(Simulation simulation) {
		return simulation.enginesInDataCentre(DRAINED_DATA_CENTRE)
			.stream()
			.mapToLong(SimulatedEngine::submissions)
			.sum();
	}

	private static long countSubmissionsAfterDrain(Simulation simulation) {
		simulation.setDataCentreDraining(DRAINED_DATA_CENTRE, true);
		simulation.clock().runUntil(DRAIN_START_MILLIS + DRAIN_PROPAGATION_MILLIS);
		long before = countSubmissions(simulation);
		simulation.clock().runUntil(DRAIN_START_MILLIS + 30_000);
		return countSubmissions(simulation) - before;
	}

	@Nested
	class DrainingDataCentre {

		@Test
		void receivesNoNewWorkAfterDrainPropagates() {
			Simulation simulation = startSimulation();
			assertThat(countSubmissionsAfterDrain(simulation), is(0L));
		}

		@Test
		void receivesNoNewWorkWhenDrainedDuringStoreOutage() {
			Simulation simulation = startSimulation();
			simulation.store().setMode(SimulatedStore.Mode.OUTAGE);
			assertThat(countSubmissionsAfterDrain(simulation), is(0L));
		}

		@Test
		void interruptsNoResponseWhenDataCentreIsDrained() {
			Simulation simulation = startSimulation();
			countSubmissionsAfterDrain(simulation);
			for (WorkClass workClass : WorkClass.values()) {
				assertThat(simulation.recorder().classStatistics(workClass).interrupted, is(0L));
			}
		}

		@Test
		void receivesNewWorkWhenDataCentreIsNotDrained() {
			Simulation simulation = startSimulation();
			long before = countSubmissions(simulation);
			simulation.clock().runUntil(DRAIN_START_MILLIS + 20_000);
			assertThat(countSubmissions(simulation) - before, greaterThan(0L));
		}

	}

	@Nested
	class RestoredDataCentre {

		@Test
		void warmsUpGraduallyAfterEnginesRestartAndDataCentreIsRestored() {
			Simulation simulation = startSimulation();
			countSubmissionsAfterDrain(simulation);
			simulation.enginesInDataCentre(DRAINED_DATA_CENTRE).forEach(SimulatedEngine::crash);
			simulation.clock().runUntil(DRAIN_START_MILLIS + 45_000);
			simulation.setDataCentreDraining(DRAINED_DATA_CENTRE, false);
			SimulatedEngine engine = simulation.enginesInDataCentre(DRAINED_DATA_CENTRE).get(0);
			engine.getAndResetPeakSequenceCount();
			simulation.clock().runUntil(DRAIN_START_MILLIS + 50_000);
			assertThat(engine.getAndResetPeakSequenceCount(),
					lessThanOrEqualTo(Deployment.ingendo().engineProfile().coldBatchSize()));
			simulation.clock().runUntil(DRAIN_START_MILLIS + 85_000);
			assertThat(engine.getAndResetPeakSequenceCount(),
					greaterThan(Deployment.ingendo().engineProfile().coldBatchSize()));
			assertThat(engine.crashCount(), is(1L));
		}

	}

}
