package org.skylarkspring.bench.experiment;

import org.skylarkspring.core.policy.CorePolicy;

/**
 * One run: a deployment, a policy, a load and a fault.
 *
 * @param deployment the deployment
 * @param policy the policy
 * @param loadPercent offered load in percent of the calibrated capacity
 * @param fault what goes wrong
 * @param retryMode name of what refused callers do
 * @param seed seed of all random choices
 */
public record Experiment(Deployment deployment, CorePolicy policy, int loadPercent, Fault fault, RetryMode retryMode,
		long seed) {

	private static final long SETTLE_MILLIS = 60_000;

	private static final long FAULT_DELAY_MILLIS = 30_000;

	private static final long MEASUREMENT_MILLIS = 240_000;

	/**
	 * Runs the experiment.
	 * @return its row of the table
	 */
	public ResultRow run() {
		Simulation world = new Simulation(this.deployment, this.policy, this.seed, SETTLE_MILLIS,
				SETTLE_MILLIS + MEASUREMENT_MILLIS);
		double capacity = EngineCapacityCalibration.measureEngineRequestsPerSecond(this.deployment)
				* this.deployment.engineCount();
		Workload workload = new Workload(world, capacity * this.loadPercent / 100, this.retryMode.retryPolicy());
		this.fault.schedule(world, workload, SETTLE_MILLIS + FAULT_DELAY_MILLIS);
		workload.startArrivals();
		world.clock().runUntil(SETTLE_MILLIS);
		long preemptionsBefore = world.engines().stream().mapToLong(SimulatedEngine::preemptions).sum();
		world.clock().runUntil(SETTLE_MILLIS + MEASUREMENT_MILLIS);
		long preemptions = world.engines().stream().mapToLong(SimulatedEngine::preemptions).sum() - preemptionsBefore;
		return ResultRow.of(this, world, preemptions);
	}

	/**
	 * What refused callers do.
	 */
	public enum RetryMode {

		/** They go away. */
		NEVER(Workload.RetryPolicy.never()),

		/** They come back when told to. */
		OBEDIENT(Workload.RetryPolicy.honouringRetryAfter()),

		/** They come back almost at once. */
		STORM(Workload.RetryPolicy.retryStorm());

		private final Workload.RetryPolicy retryPolicy;

		RetryMode(Workload.RetryPolicy retryPolicy) {
			this.retryPolicy = retryPolicy;
		}

		Workload.RetryPolicy retryPolicy() {
			return this.retryPolicy;
		}

	}

}
