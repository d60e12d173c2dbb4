package org.skylarkspring.bench.experiment;

import java.util.SplittableRandom;

import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.WorkClass;

/**
 * Callers of one deployment: requests arrive at random, at a rate that may change, and go
 * to a random entry instance, as the platform's balancer does.
 */
public final class Workload {

	private static final long INTERACTIVE_DEADLINE_MILLIS = 1_800;

	private static final long DEADLINE_CLASS_DEADLINE_MILLIS = 10_000;

	private static final int MINIMUM_PROMPT_TOKENS = 100;

	private static final int PROMPT_RANGE_TOKENS = 400;

	private static final int PREFIX_TOKENS = 512;

	private static final int PREFIXES_PER_WORKSPACE = 4;

	private static final double PREFIX_PROBABILITY = 0.5;

	private static final int MAXIMUM_OUTPUT_TOKENS = 16_000;

	private final Simulation simulation;

	private final SplittableRandom random;

	private final double requestsPerSecond;

	private final RetryPolicy retryPolicy;

	private double rateFactor = 1;

	private int burstWorkspace = -1;

	/**
	 * Creates callers.
	 * @param simulation the deployment
	 * @param requestsPerSecond mean rate of new requests
	 * @param retryPolicy what refused callers do
	 */
	public Workload(Simulation simulation, double requestsPerSecond, RetryPolicy retryPolicy) {
		this.simulation = simulation;
		this.random = simulation.createRandom();
		this.requestsPerSecond = requestsPerSecond;
		this.retryPolicy = retryPolicy;
	}

	/** Starts to send requests. */
	public void startArrivals() {
		this.simulation.clock().schedule(drawInterarrivalMicros(), this::handleArrival);
	}

	/**
	 * Changes the rate.
	 * @param newFactor multiple of the mean rate
	 */
	public void setRateFactor(double newFactor) {
		this.rateFactor = newFactor;
	}

	/**
	 * Makes all requests come from one workspace with one prefix, or ends that.
	 * @param workspace index of the workspace, -1 for all
	 */
	public void setBurstWorkspace(int workspace) {
		this.burstWorkspace = workspace;
	}

	private void handleArrival() {
		send(drawRequest());
		this.simulation.clock().schedule(drawInterarrivalMicros(), this::handleArrival);
	}

	private void send(SimulatedRequest request) {
		this.simulation.recorder().recordOffered(request);
		var live = this.simulation.entryInstances().stream().filter(SimulatedEntryInstance::isAlive).toList();
		SimulatedEntryInstance entry = live.get(this.random.nextInt(live.size()));
		entry.submit(request, (outcome) -> handleOutcome(request, outcome));
	}

	private void handleOutcome(SimulatedRequest request, Outcome outcome) {
		if (outcome instanceof Outcome.Failed refused && refused.deliveredTokens() == 0) {
			long delayMillis = this.retryPolicy.delayMillis(request.retryCount(), refused.retryAfterMillis());
			if (delayMillis < 0) {
				this.simulation.recorder().recordAbandoned(request);
				return;
			}
			this.simulation.clock()
				.schedule(delayMillis * VirtualClock.MICROS_PER_MILLI, () -> send(request.forRetry()));
		}
	}

	private SimulatedRequest drawRequest() {
		boolean bursting = this.burstWorkspace >= 0 && this.random.nextBoolean();
		int index = bursting ? this.burstWorkspace : drawWorkspaceIndex();
		Deployment.WorkspaceLoad load = this.simulation.deployment().workspaces().get(index);
		boolean prefixed = bursting || this.random.nextDouble() < PREFIX_PROBABILITY;
		long prefix = bursting ? 1 : 1 + index * 100L + this.random.nextInt(PREFIXES_PER_WORKSPACE);
		int own = MINIMUM_PROMPT_TOKENS + this.random.nextInt(PROMPT_RANGE_TOKENS);
		long deadline = (load.workClass() == WorkClass.INTERACTIVE) ? INTERACTIVE_DEADLINE_MILLIS
				: DEADLINE_CLASS_DEADLINE_MILLIS;
		RequestSpec spec = RequestSpec.builder(this.simulation.deployment().service(), load.name())
			.promptTokens(own + (prefixed ? PREFIX_TOKENS : 0))
			.prefix(prefixed ? prefix : 0, prefixed ? PREFIX_TOKENS : 0)
			.maximumOutputTokens(MAXIMUM_OUTPUT_TOKENS)
			.deadlineMillis(deadline)
			.build();
		return new SimulatedRequest(spec, load.workClass(),
				this.simulation.deployment().outputLengths().sample(this.random), 0, "");
	}

	private int drawWorkspaceIndex() {
		double point = this.random.nextDouble();
		int index = 0;
		for (Deployment.WorkspaceLoad load : this.simulation.deployment().workspaces()) {
			point -= load.loadFraction();
			if (point < 0) {
				return index;
			}
			index++;
		}
		return this.simulation.deployment().workspaces().size() - 1;
	}

	private long drawInterarrivalMicros() {
		double rate = this.requestsPerSecond * this.rateFactor;
		return (long) (-Math.log(1 - this.random.nextDouble()) / rate * 1_000 * VirtualClock.MICROS_PER_MILLI);
	}

	/**
	 * What refused callers do.
	 */
	@FunctionalInterface
	public interface RetryPolicy {

		/**
		 * Returns when a refused caller tries again.
		 * @param tries earlier tries
		 * @param retryAfterMillis what the refusal says
		 * @return milliseconds, -1 for never
		 */
		long delayMillis(int tries, long retryAfterMillis);

		/**
		 * Callers who go away.
		 * @return the behaviour
		 */
		static RetryPolicy never() {
			return (tries, retryAfterMillis) -> -1;
		}

		/**
		 * Callers who come back up to three times when told to.
		 * @return the behaviour
		 */
		static RetryPolicy honouringRetryAfter() {
			return (tries, retryAfterMillis) -> (tries < 3) ? retryAfterMillis : -1;
		}

		/**
		 * Callers who come back five times, almost at once.
		 * @return the behaviour
		 */
		static RetryPolicy retryStorm() {
			return (tries, retryAfterMillis) -> (tries < 5) ? 200 : -1;
		}

	}

}
