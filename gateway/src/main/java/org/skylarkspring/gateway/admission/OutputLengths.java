package org.skylarkspring.gateway.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

import org.skylarkspring.core.policy.OutputLengthEstimator;
import org.skylarkspring.gateway.model.GenerationSize;
import org.skylarkspring.gateway.policy.KvCacheEstimator;

/**
 * Learnt output lengths by workspace and route. The tokens in an event are not stated;
 * their number is learnt from the callers' estimates, which are accurate at the median.
 */
final class OutputLengths {

	/** Above the number of routes times workspaces of a deployment. */
	private static final int MAXIMUM_ESTIMATORS = 256;

	private static final int MAXIMUM_SERVICES = 32;

	/** Completed generations below which a mean over all instances is not used. */
	private static final long MINIMUM_GENERATIONS = 30;

	/** Latest streams of which the median of the tokens in an event is taken. */
	private static final int RATIO_COUNT = 31;

	private static final int MINIMUM_RATIO_COUNT = 5;

	private final DemandTable demand;

	private final BoundedTable<AdmissionRequest.RouteKey, OutputLengthEstimator> byRoute = new BoundedTable<>(
			MAXIMUM_ESTIMATORS);

	private final BoundedTable<WorkspaceKey, OutputLengthEstimator> byWorkspace = new BoundedTable<>(
			MAXIMUM_ESTIMATORS);

	private final BoundedTable<String, Deque<Double>> tokensPerNumber = new BoundedTable<>(MAXIMUM_SERVICES);

	OutputLengths(DemandTable demand) {
		this.demand = demand;
	}

	/**
	 * Returns the KV cache memory that a generation is expected to need: from the lengths
	 * of its workspace on its route, of all workspaces on the route, or from the caller.
	 * @param request the request
	 * @param size size stated in the request
	 * @param nowMillis current time in milliseconds
	 * @return number of tokens
	 */
	long expectedTokens(AdmissionRequest request, GenerationSize size, long nowMillis) {
		OptionalDouble learnt = learntOutputTokens(request, nowMillis);
		return learnt.isEmpty() ? KvCacheEstimator.estimateKvCacheTokens(size)
				: size.promptTokens() + Math.min(size.maximumOutputTokens(), Math.round(learnt.getAsDouble()));
	}

	private OptionalDouble learntOutputTokens(AdmissionRequest request, long nowMillis) {
		OptionalDouble workspaceMean = this.demand.meanOutputTokens(request.service(),
				(entry) -> entry.route().equals(request.route()) && entry.workspace().equals(request.workspace()),
				MINIMUM_GENERATIONS, nowMillis);
		return workspaceMean.isPresent() ? workspaceMean : this.demand.meanOutputTokens(request.service(),
				(entry) -> entry.route().equals(request.route()), MINIMUM_GENERATIONS, nowMillis);
	}

	/**
	 * Records an event of a running generation.
	 * @param generation the generation
	 * @param eventNumber number of the event
	 * @return whether the expected memory has changed
	 */
	boolean recordEvent(Generation generation, long eventNumber) {
		generation.lastNumber = Math.max(generation.lastNumber, eventNumber);
		OptionalDouble ratio = tokensPerNumber(generation.request.service());
		if (ratio.isEmpty()) {
			return false;
		}
		int tokens = toTokens(generation.lastNumber, ratio.getAsDouble(), generation.size);
		boolean sameInterval = generation.recordedTokens >= 0
				&& OutputLengthEstimator.binOf(tokens) == OutputLengthEstimator.binOf(generation.recordedTokens);
		if (sameInterval) {
			return false;
		}
		estimatorOfRoute(generation).recordGrowth(generation.recordedTokens, tokens);
		estimatorOfWorkspace(generation).recordGrowth(generation.recordedTokens, tokens);
		generation.recordedTokens = tokens;
		long expected = generation.size.promptTokens()
				+ Math.min(generation.size.maximumOutputTokens(), expectedOutputTokens(generation, tokens));
		boolean changed = expected != generation.expectedTokens;
		generation.expectedTokens = expected;
		return changed;
	}

	// Without enough observations, the length is known only to be above what was
	// received.
	private long expectedOutputTokens(Generation generation, int tokens) {
		OutputLengthEstimator ofWorkspace = estimatorOfWorkspace(generation);
		OutputLengthEstimator estimator = ofWorkspace.hasEnoughObservations() ? ofWorkspace
				: estimatorOfRoute(generation);
		return estimator.hasEnoughObservations() ? tokens + Math.round(estimator.meanRemaining(tokens))
				: Math.max(tokens, generation.expectedTokens - generation.size.promptTokens());
	}

	/**
	 * Records that a generation has ended with a complete stream.
	 * @param generation the generation
	 * @param nowMillis current time in milliseconds
	 */
	void recordEnd(Generation generation, long nowMillis) {
		if (generation.lastNumber <= 0) {
			return;
		}
		generation.size.expectedOutputTokens()
			.ifPresent(
					(expected) -> recordRatio(generation.request.service(), (double) expected / generation.lastNumber));
		OptionalDouble ratio = tokensPerNumber(generation.request.service());
		if (ratio.isPresent()) {
			int tokens = toTokens(generation.lastNumber, ratio.getAsDouble(), generation.size);
			recordEnd(estimatorOfRoute(generation), generation.recordedTokens, tokens);
			recordEnd(estimatorOfWorkspace(generation), generation.recordedTokens, tokens);
			this.demand.recordOutput(generation.request, tokens, nowMillis);
		}
	}

	private static void recordEnd(OutputLengthEstimator estimator, int recordedTokens, int tokens) {
		estimator.recordGrowth(recordedTokens, Math.max(recordedTokens, tokens));
		estimator.recordEnd(Math.max(recordedTokens, tokens));
	}

	private static int toTokens(long number, double ratio, GenerationSize size) {
		return (int) Math.min(Math.max(number, size.maximumOutputTokens()), Math.round(number * ratio));
	}

	private void recordRatio(String service, double ratio) {
		Deque<Double> ratios = this.tokensPerNumber.findOrCreate(service, ArrayDeque::new);
		ratios.addLast(ratio);
		if (ratios.size() > RATIO_COUNT) {
			ratios.removeFirst();
		}
	}

	// An event holds at least one token, or its number counts the tokens.
	private OptionalDouble tokensPerNumber(String service) {
		return this.tokensPerNumber.find(service)
			.filter((ratios) -> ratios.size() >= MINIMUM_RATIO_COUNT)
			.map((ratios) -> ratios.stream().sorted().skip(ratios.size() / 2).findFirst().orElseThrow())
			.map((median) -> OptionalDouble.of(Math.max(1, Math.rint(median))))
			.orElse(OptionalDouble.empty());
	}

	private OutputLengthEstimator estimatorOfRoute(Generation generation) {
		return this.byRoute.findOrCreate(generation.request.routeKey(), OutputLengthEstimator::new);
	}

	private OutputLengthEstimator estimatorOfWorkspace(Generation generation) {
		return this.byWorkspace.findOrCreate(
				new WorkspaceKey(generation.request.routeKey(), generation.request.workspace()),
				OutputLengthEstimator::new);
	}

	int estimatorCount() {
		return this.byRoute.size() + this.byWorkspace.size();
	}

	/**
	 * A running generation and the memory that it is expected to need.
	 */
	static final class Generation {

		private final AdmissionRequest request;

		private final GenerationSize size;

		private long expectedTokens;

		private long lastNumber;

		/** Length recorded so far, -1 before the first event. */
		private int recordedTokens = -1;

		Generation(AdmissionRequest request, GenerationSize size) {
			this.request = request;
			this.size = size;
			this.expectedTokens = request.tokens();
		}

		AdmissionRequest request() {
			return this.request;
		}

		long expectedTokens() {
			return this.expectedTokens;
		}

	}

	private record WorkspaceKey(AdmissionRequest.RouteKey routeKey, String workspace) {
	}

}
