package org.skylarkspring.bench.experiment;

import java.util.List;

/**
 * Something that goes wrong during an experiment.
 */
public enum Fault {

	/** Nothing goes wrong. */
	NONE {

		@Override
		void schedule(Simulation world, Workload workload, long atMillis) {
		}

	},

	/** A data centre is taken out for a while and comes back restarted. */
	DATA_CENTRE_OUT {

		@Override
		void schedule(Simulation world, Workload workload, long atMillis) {
			String centre = world.deployment().dataCentres().get(0);
			scheduleAt(world, atMillis, () -> world.setDataCentreDraining(centre, true));
			scheduleAt(world, atMillis + 60_000,
					() -> world.enginesInDataCentre(centre).forEach(SimulatedEngine::crash));
			scheduleAt(world, atMillis + 80_000, () -> world.setDataCentreDraining(centre, false));
		}

	},

	/** Half of the engines turn cold without warning. */
	HALF_COLD {

		@Override
		void schedule(Simulation world, Workload workload, long atMillis) {
			List<SimulatedEngine> engines = world.engines();
			scheduleAt(world, atMillis,
					() -> engines.subList(0, engines.size() / 2).forEach(SimulatedEngine::resetToCold));
		}

	},

	/** One workspace doubles the load with one prefix for half a minute. */
	PREFIX_BURST {

		@Override
		void schedule(Simulation world, Workload workload, long atMillis) {
			scheduleAt(world, atMillis, () -> {
				workload.setBurstWorkspace(2);
				workload.setRateFactor(2);
			});
			scheduleAt(world, atMillis + 30_000, () -> {
				workload.setBurstWorkspace(-1);
				workload.setRateFactor(1);
			});
		}

	},

	/** An engine dies and comes back as a new incarnation. */
	ENGINE_CRASH {

		@Override
		void schedule(Simulation world, Workload workload, long atMillis) {
			scheduleAt(world, atMillis, () -> world.engines().get(0).crash());
		}

	},

	/** The store is out for two minutes. */
	STORE_OUTAGE {

		@Override
		void schedule(Simulation world, Workload workload, long atMillis) {
			scheduleAt(world, atMillis, () -> world.store().setMode(SimulatedStore.Mode.OUTAGE));
			scheduleAt(world, atMillis + 1_000, () -> world.engines().get(0).crash());
			scheduleAt(world, atMillis + 120_000, () -> world.store().setMode(SimulatedStore.Mode.AVAILABLE));
		}

	};

	/**
	 * Schedules the fault.
	 * @param world the deployment
	 * @param workload its callers
	 * @param atMillis when it happens
	 */
	abstract void schedule(Simulation world, Workload workload, long atMillis);

	private static void scheduleAt(Simulation world, long millis, Runnable task) {
		world.clock().schedule(millis * VirtualClock.MICROS_PER_MILLI, task);
	}

}
