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

	private static final int PROMPT_SPREAD_TOKENS = 400;

	private static final int PREFIX_TOKENS = 512;

	private static final int PREFIXES_PER_WORKSPACE = 4;

	private static final double PREFIX_PROBABILITY = 0.5;

	private static final int MAXIMUM_OUTPUT_TOKENS = 16_000;

	private final World world;

	private final SplittableRandom random;

	private final double requestsPerSecond;

	private final RetryBehaviour retries;

	private double rateFactor = 1;

	private int burstWorkspace = -1;

	/**
	 * Creates callers.
	 * @param world the deployment
	 * @param requestsPerSecond mean rate of new requests
	 * @param retries what refused callers do
	 */
	public Workload(World world, double requestsPerSecond, RetryBehaviour retries) {
		this.world = world;
		this.random = world.random();
		this.requestsPerSecond = requestsPerSecond;
		this.retries = retries;
	}

	/** Starts to send requests. */
	public void start() {
		this.world.time().after(nextArrivalMicros(), this::arrive);
	}

	/**
	 * Changes the rate.
	 * @param newFactor multiple of the mean rate
	 */
	public void rateFactor(double newFactor) {
		this.rateFactor = newFactor;
	}

	/**
	 * Makes all requests come from one workspace with one prefix, or ends that.
	 * @param workspace index of the workspace, -1 for all
	 */
	public void burst(int workspace) {
		this.burstWorkspace = workspace;
	}

	private void arrive() {
		send(draw());
		this.world.time().after(nextArrivalMicros(), this::arrive);
	}

	private void send(SimulatedRequest request) {
		this.world.recorder().offered(request);
		var live = this.world.entries().stream().filter(EntryActor::alive).toList();
		EntryActor entry = live.get(this.random.nextInt(live.size()));
		entry.submit(request, (outcome) -> finished(request, outcome));
	}

	private void finished(SimulatedRequest request, Outcome outcome) {
		if (outcome instanceof Outcome.Failed refused && refused.deliveredTokens() == 0) {
			long delayMillis = this.retries.delayMillis(request.tries(), refused.retryAfterMillis());
			if (delayMillis < 0) {
				this.world.recorder().gaveUp(request);
				return;
			}
			this.world.time().after(delayMillis * VirtualTime.MILLI, () -> send(request.again()));
		}
	}

	private SimulatedRequest draw() {
		boolean bursting = this.burstWorkspace >= 0 && this.random.nextBoolean();
		int index = bursting ? this.burstWorkspace : drawWorkspace();
		Deployment.WorkspaceLoad load = this.world.deployment().workspaces().get(index);
		boolean prefixed = bursting || this.random.nextDouble() < PREFIX_PROBABILITY;
		long prefix = bursting ? 1 : 1 + index * 100L + this.random.nextInt(PREFIXES_PER_WORKSPACE);
		int own = MINIMUM_PROMPT_TOKENS + this.random.nextInt(PROMPT_SPREAD_TOKENS);
		long deadline = (load.workClass() == WorkClass.INTERACTIVE) ? INTERACTIVE_DEADLINE_MILLIS
				: DEADLINE_CLASS_DEADLINE_MILLIS;
		RequestSpec spec = RequestSpec.builder(this.world.deployment().service(), load.name())
			.promptTokens(own + (prefixed ? PREFIX_TOKENS : 0))
			.prefix(prefixed ? prefix : 0, prefixed ? PREFIX_TOKENS : 0)
			.maximumOutputTokens(MAXIMUM_OUTPUT_TOKENS)
			.deadlineMillis(deadline)
			.build();
		return new SimulatedRequest(spec, load.workClass(), this.world.deployment().lengths().draw(this.random), 0, "");
	}

	private int drawWorkspace() {
		double point = this.random.nextDouble();
		int index = 0;
		for (Deployment.WorkspaceLoad load : this.world.deployment().workspaces()) {
			point -= load.part();
			if (point < 0) {
				return index;
			}
			index++;
		}
		return this.world.deployment().workspaces().size() - 1;
	}

	private long nextArrivalMicros() {
		double rate = this.requestsPerSecond * this.rateFactor;
		return (long) (-Math.log(1 - this.random.nextDouble()) / rate * 1_000 * VirtualTime.MILLI);
	}

	/**
	 * What refused callers do.
	 */
	@FunctionalInterface
	public interface RetryBehaviour {

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
		static RetryBehaviour never() {
			return (tries, retryAfterMillis) -> -1;
		}

		/**
		 * Callers who come back up to three times when told to.
		 * @return the behaviour
		 */
		static RetryBehaviour obedient() {
			return (tries, retryAfterMillis) -> (tries < 3) ? retryAfterMillis : -1;
		}

		/**
		 * Callers who come back five times, almost at once.
		 * @return the behaviour
		 */
		static RetryBehaviour storm() {
			return (tries, retryAfterMillis) -> (tries < 5) ? 200 : -1;
		}

	}

}
