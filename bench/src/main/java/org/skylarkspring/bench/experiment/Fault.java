package org.skylarkspring.bench.experiment;

import java.util.List;

/**
 * Something that goes wrong during an experiment.
 */
public enum Fault {

	/** Nothing goes wrong. */
	NONE {

		@Override
		void schedule(World world, Workload workload, long atMillis) {
		}

	},

	/** A data centre is taken out for a while and comes back restarted. */
	DATA_CENTRE_OUT {

		@Override
		void schedule(World world, Workload workload, long atMillis) {
			String centre = world.deployment().dataCentres().get(0);
			at(world, atMillis, () -> world.drain(centre, true));
			at(world, atMillis + 60_000, () -> world.enginesOf(centre).forEach(EngineActor::crash));
			at(world, atMillis + 80_000, () -> world.drain(centre, false));
		}

	},

	/** Half of the engines turn cold without warning. */
	HALF_COLD {

		@Override
		void schedule(World world, Workload workload, long atMillis) {
			List<EngineActor> engines = world.engines();
			at(world, atMillis, () -> engines.subList(0, engines.size() / 2).forEach(EngineActor::turnCold));
		}

	},

	/** One workspace doubles the load with one prefix for half a minute. */
	PREFIX_BURST {

		@Override
		void schedule(World world, Workload workload, long atMillis) {
			at(world, atMillis, () -> {
				workload.burst(2);
				workload.rateFactor(2);
			});
			at(world, atMillis + 30_000, () -> {
				workload.burst(-1);
				workload.rateFactor(1);
			});
		}

	},

	/** An engine dies and comes back as a new incarnation. */
	ENGINE_CRASH {

		@Override
		void schedule(World world, Workload workload, long atMillis) {
			at(world, atMillis, () -> world.engines().get(0).crash());
		}

	},

	/** The store is out for two minutes. */
	STORE_OUTAGE {

		@Override
		void schedule(World world, Workload workload, long atMillis) {
			at(world, atMillis, () -> world.store().mode(StoreActor.Mode.OUTAGE));
			at(world, atMillis + 1_000, () -> world.engines().get(0).crash());
			at(world, atMillis + 120_000, () -> world.store().mode(StoreActor.Mode.SOUND));
		}

	};

	/**
	 * Schedules the fault.
	 * @param world the deployment
	 * @param workload its callers
	 * @param atMillis when it happens
	 */
	abstract void schedule(World world, Workload workload, long atMillis);

	private static void at(World world, long millis, Runnable task) {
		world.time().after(millis * VirtualTime.MILLI, task);
	}

}
