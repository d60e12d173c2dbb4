package org.skylarkspring.bench.experiment;

import java.util.List;

/**
 * A fault injected during an experiment.
 */
public enum Fault {

	/** No fault. */
	NONE {

		@Override
		void schedule(Simulation simulation, Workload workload, long atMillis) {
		}

	},

	/** A data centre is drained, its engines crash and restart, and it is restored. */
	DATA_CENTRE_OUT {

		@Override
		void schedule(Simulation simulation, Workload workload, long atMillis) {
			String dataCentre = simulation.deployment().dataCentres().get(0);
			scheduleAt(simulation, atMillis, () -> simulation.setDataCentreDraining(dataCentre, true));
			scheduleAt(simulation, atMillis + 60_000,
					() -> simulation.enginesInDataCentre(dataCentre).forEach(SimulatedEngine::crash));
			scheduleAt(simulation, atMillis + 80_000, () -> simulation.setDataCentreDraining(dataCentre, false));
		}

	},

	/** Half of the engines become cold without a restart or notification. */
	HALF_COLD {

		@Override
		void schedule(Simulation simulation, Workload workload, long atMillis) {
			List<SimulatedEngine> engines = simulation.engines();
			scheduleAt(simulation, atMillis,
					() -> engines.subList(0, engines.size() / 2).forEach(SimulatedEngine::resetToCold));
		}

	},

	/** One workspace doubles the load for 30 s with requests that share one prefix. */
	PREFIX_BURST {

		@Override
		void schedule(Simulation simulation, Workload workload, long atMillis) {
			scheduleAt(simulation, atMillis, () -> {
				workload.setBurstWorkspace(2);
				workload.setRateFactor(2);
			});
			scheduleAt(simulation, atMillis + 30_000, () -> {
				workload.setBurstWorkspace(-1);
				workload.setRateFactor(1);
			});
		}

	},

	/** An engine crashes and restarts as a new incarnation. */
	ENGINE_CRASH {

		@Override
		void schedule(Simulation simulation, Workload workload, long atMillis) {
			scheduleAt(simulation, atMillis, () -> simulation.engines().get(0).crash());
		}

	},

	/** The store is unavailable for two minutes, during which an engine crashes. */
	STORE_OUTAGE {

		@Override
		void schedule(Simulation simulation, Workload workload, long atMillis) {
			scheduleAt(simulation, atMillis, () -> simulation.store().setMode(SimulatedStore.Mode.OUTAGE));
			scheduleAt(simulation, atMillis + 1_000, () -> simulation.engines().get(0).crash());
			scheduleAt(simulation, atMillis + 120_000, () -> simulation.store().setMode(SimulatedStore.Mode.AVAILABLE));
		}

	};

	/**
	 * Schedules the fault.
	 * @param simulation simulation of the deployment
	 * @param workload load of the deployment
	 * @param atMillis start of the fault, in milliseconds of simulated time
	 */
	abstract void schedule(Simulation simulation, Workload workload, long atMillis);

	private static void scheduleAt(Simulation simulation, long millis, Runnable task) {
		simulation.clock().schedule(millis * VirtualClock.MICROS_PER_MILLI, task);
	}

}
