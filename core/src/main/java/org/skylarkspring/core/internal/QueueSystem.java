package org.skylarkspring.core.internal;

import java.util.HashMap;
import java.util.Map;

import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.Verdict;

/**
 * Queues requests until a server can take them. Requests are rejected on arrival if the
 * queues are full or, with early rejection, if the estimated wait exceeds their deadline.
 * Requests that reach their deadline in the queue are rejected as well.
 */
final class QueueSystem {

	private static final long MINIMUM_RETRY_AFTER_MILLIS = 1_000;

	private static final long MAXIMUM_RETRY_AFTER_MILLIS = 60_000;

	private final CoreContext context;

	private final RequestCompletionSystem completionSystem;

	private final PeriodicTrigger expiryTrigger = new PeriodicTrigger(50);

	private final PeriodicTrigger rateTrigger = new PeriodicTrigger(500);

	private final Map<String, ThroughputEstimator> throughputByService = new HashMap<>();

	QueueSystem(CoreContext context, RequestCompletionSystem completionSystem) {
		this.context = context;
		this.completionSystem = completionSystem;
	}

	void enqueue(RequestEntry request) {
		WeightedFairQueue queue = this.context.queueFor(request.service.name());
		request.queueCost = estimateCost(request);
		boolean full = this.context.queuedRequests() >= CoreLimits.MAXIMUM_QUEUED_REQUESTS;
		if (full || (this.context.policy.earlyRejection() && wouldMissDeadline(queue, request))) {
			this.context.incrementCounter("refused_on_arrival");
			failWithRetryAfter(request);
			return;
		}
		queue.add(request);
	}

	void requeueFirst(RequestEntry request) {
		request.queueCost = estimateCost(request);
		this.context.queueFor(request.service.name()).addFirst(request);
	}

	void recordServed(RequestEntry request) {
		throughputOf(request.service.name()).recordServed(request.queueCost);
	}

	void tick() {
		if (this.expiryTrigger.fireIfDue(this.context.nowMillis)) {
			this.context.queues.values().forEach(this::rejectExpired);
		}
		if (this.rateTrigger.fireIfDue(this.context.nowMillis)) {
			this.context.queues.forEach(
					(service, queue) -> throughputOf(service).updateRate(this.context.nowMillis, queue.size() > 0));
		}
	}

	/**
	 * Rejects a queued or newly arrived request with {@link ErrorCode#OVERLOADED}.
	 * @param request the request
	 */
	void failWithRetryAfter(RequestEntry request) {
		failWithRetryAfter(request, ErrorCode.OVERLOADED);
	}

	void failWithRetryAfter(RequestEntry request, ErrorCode code) {
		Verdict verdict = request.mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
		this.completionSystem.fail(request, code, verdict, retryAfterMillis(request.service.name()));
	}

	/**
	 * Returns the time that a rejected caller should wait before it retries: the
	 * estimated time to drain the queue, with jitter so that callers do not retry at the
	 * same time.
	 * @param service name of the service
	 * @return delay in milliseconds
	 */
	long retryAfterMillis(String service) {
		double cost = this.context.queueFor(service).requests().mapToDouble((request) -> request.queueCost).sum();
		double drainMillis = throughputOf(service).estimateDrainMillis(cost);
		double baseMillis = Math.max(MINIMUM_RETRY_AFTER_MILLIS, Math.min(drainMillis, MAXIMUM_RETRY_AFTER_MILLIS / 2));
		return (long) (baseMillis * (1 + this.context.random.nextDouble()));
	}

	private boolean wouldMissDeadline(WeightedFairQueue queue, RequestEntry request) {
		if (queue.size() == 0) {
			return false;
		}
		double waitMillis = throughputOf(request.service.name()).estimateDrainMillis(queue.costAhead(request));
		return waitMillis > request.spec.deadlineMillis();
	}

	private void rejectExpired(WeightedFairQueue queue) {
		queue.removeIf((request) -> this.context.nowMillis >= request.deadlineAtMillis).forEach((request) -> {
			this.context.incrementCounter("refused_at_deadline");
			failWithRetryAfter(request);
		});
	}

	private double estimateCost(RequestEntry request) {
		double outputTokens = this.context.outputLengths.mostSpecificEstimator(request).meanRemaining(0);
		return request.spec.promptTokens() + Math.min(outputTokens, request.spec.maximumOutputTokens());
	}

	private ThroughputEstimator throughputOf(String service) {
		return this.throughputByService.computeIfAbsent(service, (name) -> new ThroughputEstimator());
	}

}
