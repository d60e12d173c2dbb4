package org.skylarkspring.bench.experiment;

import org.skylarkspring.core.policy.CorePolicy;

/**
 * One run: a deployment, a policy, a load and a fault.
 *
 * @param deployment the deployment
 * @param policy the policy
 * @param loadPercent offered load in percent of the calibrated capacity
 * @param fault what goes wrong
 * @param retries name of what refused callers do
 * @param seed seed of all random choices
 */
public record Experiment(Deployment deployment, CorePolicy policy, int loadPercent, Fault fault, Retries retries,
		long seed) {

	private static final long SETTLE_MILLIS = 60_000;

	private static final long FAULT_AFTER_MILLIS = 30_000;

	private static final long MEASURED_MILLIS = 240_000;

	/**
	 * Runs the experiment.
	 * @return its row of the table
	 */
	public ResultRow run() {
		World world = new World(this.deployment, this.policy, this.seed, SETTLE_MILLIS,
				SETTLE_MILLIS + MEASURED_MILLIS);
		double capacity = Calibration.requestsPerSecondOfOneEngine(this.deployment) * this.deployment.engines();
		Workload workload = new Workload(world, capacity * this.loadPercent / 100, this.retries.behaviour());
		this.fault.schedule(world, workload, SETTLE_MILLIS + FAULT_AFTER_MILLIS);
		workload.start();
		world.time().runUntil(SETTLE_MILLIS);
		long preemptionsBefore = world.engines().stream().mapToLong(EngineActor::preemptions).sum();
		world.time().runUntil(SETTLE_MILLIS + MEASURED_MILLIS);
		long preemptions = world.engines().stream().mapToLong(EngineActor::preemptions).sum() - preemptionsBefore;
		return ResultRow.of(this, world, preemptions);
	}

	/**
	 * What refused callers do.
	 */
	public enum Retries {

		/** They go away. */
		NEVER(Workload.RetryBehaviour.never()),

		/** They come back when told to. */
		OBEDIENT(Workload.RetryBehaviour.obedient()),

		/** They come back almost at once. */
		STORM(Workload.RetryBehaviour.storm());

		private final Workload.RetryBehaviour behaviour;

		Retries(Workload.RetryBehaviour behaviour) {
			this.behaviour = behaviour;
		}

		Workload.RetryBehaviour behaviour() {
			return this.behaviour;
		}

	}

}
