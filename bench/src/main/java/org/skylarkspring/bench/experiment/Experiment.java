package org.skylarkspring.bench.experiment;

import org.skylarkspring.core.policy.CorePolicy;

/**
 * One simulation run, with a deployment, a policy, an offered load and a fault.
 *
 * @param deployment deployment to simulate
 * @param policy policy of all entry instances
 * @param loadPercent offered load in percent of the calibrated capacity
 * @param fault fault to inject
 * @param retryMode how refused callers retry
 * @param seed seed of all random choices
 */
public record Experiment(Deployment deployment, CorePolicy policy, int loadPercent, Fault fault, RetryMode retryMode,
		long seed) {

	private static final long SETTLE_MILLIS = 60_000;

	private static final long FAULT_DELAY_MILLIS = 30_000;

	private static final long MEASUREMENT_MILLIS = 240_000;

	/**
	 * Runs the experiment.
	 * @return row of the result table
	 */
	public ResultRow run() {
		Simulation simulation = new Simulation(this.deployment, this.policy, this.seed, SETTLE_MILLIS,
				SETTLE_MILLIS + MEASUREMENT_MILLIS);
		double capacity = EngineCapacityCalibration.measureEngineRequestsPerSecond(this.deployment)
				* this.deployment.engineCount();
		Workload workload = new Workload(simulation, capacity * this.loadPercent / 100, this.retryMode.retryPolicy());
		this.fault.schedule(simulation, workload, SETTLE_MILLIS + FAULT_DELAY_MILLIS);
		workload.startArrivals();
		simulation.clock().runUntil(SETTLE_MILLIS);
		long preemptionsBefore = simulation.engines().stream().mapToLong(SimulatedEngine::preemptions).sum();
		simulation.clock().runUntil(SETTLE_MILLIS + MEASUREMENT_MILLIS);
		long preemptions = simulation.engines().stream().mapToLong(SimulatedEngine::preemptions).sum()
				- preemptionsBefore;
		return ResultRow.of(this, simulation, preemptions);
	}

	/**
	 * How refused callers retry.
	 */
	public enum RetryMode {

		/** Callers do not retry. */
		NEVER(Workload.RetryPolicy.never()),

		/** Callers retry after the delay that the refusal specifies. */
		OBEDIENT(Workload.RetryPolicy.honouringRetryAfter()),

		/** Callers retry almost immediately. */
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
