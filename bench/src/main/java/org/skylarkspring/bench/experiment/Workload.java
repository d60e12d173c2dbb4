package org.skylarkspring.bench.experiment;

import java.util.SplittableRandom;

import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.WorkClass;

/**
 * Generates the load of one deployment. Requests arrive at random times, at a rate that
 * can be changed, and go to a random entry instance, as the platform's load balancer
 * distributes them.
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
	 * Creates a workload.
	 * @param simulation simulation of the deployment
	 * @param requestsPerSecond mean number of new requests per second
	 * @param retryPolicy how refused callers retry
	 */
	public Workload(Simulation simulation, double requestsPerSecond, RetryPolicy retryPolicy) {
		this.simulation = simulation;
		this.random = simulation.createRandom();
		this.requestsPerSecond = requestsPerSecond;
		this.retryPolicy = retryPolicy;
	}

	/** Starts sending requests. */
	public void startArrivals() {
		this.simulation.clock().schedule(drawInterarrivalMicros(), this::handleArrival);
	}

	/**
	 * Changes the request rate.
	 * @param newFactor multiple of the mean rate
	 */
	public void setRateFactor(double newFactor) {
		this.rateFactor = newFactor;
	}

	/**
	 * Starts or ends a burst, during which about half of the requests come from one
	 * workspace and share one prefix.
	 * @param workspaceIndex index of the workspace, -1 to end the burst
	 */
	public void setBurstWorkspace(int workspaceIndex) {
		this.burstWorkspace = workspaceIndex;
	}

	private void handleArrival() {
		send(drawRequest());
		this.simulation.clock().schedule(drawInterarrivalMicros(), this::handleArrival);
	}

	private void send(SimulatedRequest request) {
		this.simulation.recorder().recordOffered(request);
		var liveInstances = this.simulation.entryInstances().stream().filter(SimulatedEntryInstance::isAlive).toList();
		SimulatedEntryInstance entry = liveInstances.get(this.random.nextInt(liveInstances.size()));
		entry.submit(request, (outcome) -> handleOutcome(request, outcome));
	}

	private void handleOutcome(SimulatedRequest request, Outcome outcome) {
		if (outcome instanceof Outcome.Failed failure && failure.deliveredTokens() == 0) {
			long delayMillis = this.retryPolicy.delayMillis(request.retryCount(), failure.retryAfterMillis());
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
		long prefixHash = bursting ? 1 : 1 + index * 100L + this.random.nextInt(PREFIXES_PER_WORKSPACE);
		int ownTokens = MINIMUM_PROMPT_TOKENS + this.random.nextInt(PROMPT_RANGE_TOKENS);
		long deadline = (load.workClass() == WorkClass.INTERACTIVE) ? INTERACTIVE_DEADLINE_MILLIS
				: DEADLINE_CLASS_DEADLINE_MILLIS;
		RequestSpec spec = RequestSpec.builder(this.simulation.deployment().service(), load.name())
			.promptTokens(ownTokens + (prefixed ? PREFIX_TOKENS : 0))
			.prefix(prefixed ? prefixHash : 0, prefixed ? PREFIX_TOKENS : 0)
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
	 * How refused callers retry.
	 */
	@FunctionalInterface
	public interface RetryPolicy {

		/**
		 * Returns the delay before a refused caller retries.
		 * @param retryCount number of earlier retries
		 * @param retryAfterMillis delay in milliseconds that the refusal specifies
		 * @return delay in milliseconds, -1 for no retry
		 */
		long delayMillis(int retryCount, long retryAfterMillis);

		/**
		 * Returns a policy without retries.
		 * @return the policy
		 */
		static RetryPolicy never() {
			return (retryCount, retryAfterMillis) -> -1;
		}

		/**
		 * Returns a policy with up to three retries, each after the delay that the
		 * refusal specifies.
		 * @return the policy
		 */
		static RetryPolicy honouringRetryAfter() {
			return (retryCount, retryAfterMillis) -> (retryCount < 3) ? retryAfterMillis : -1;
		}

		/**
		 * Returns a policy with up to five retries, each almost immediately.
		 * @return the policy
		 */
		static RetryPolicy retryStorm() {
			return (retryCount, retryAfterMillis) -> (retryCount < 5) ? 200 : -1;
		}

	}

}
