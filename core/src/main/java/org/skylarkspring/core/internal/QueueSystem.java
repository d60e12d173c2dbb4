package org.skylarkspring.core.internal;

import java.util.HashMap;
import java.util.Map;

import org.skylarkspring.core.model.RefusalCode;
import org.skylarkspring.core.model.Verdict;

/**
 * Lets requests wait for a server, and refuses those at once whose wait cannot meet their
 * deadline.
 */
final class QueueSystem {

	private static final long MINIMUM_RETRY_MILLIS = 1_000;

	private static final long MAXIMUM_RETRY_MILLIS = 60_000;

	private final CoreContext context;

	private final FinishSystem finish;

	private final Period expiryPeriod = new Period(50);

	private final Period ratePeriod = new Period(500);

	private final Map<String, DrainMeter> meters = new HashMap<>();

	QueueSystem(CoreContext context, FinishSystem finish) {
		this.context = context;
		this.finish = finish;
	}

	void enqueue(RequestEntry request) {
		FairQueue queue = this.context.queue(request.service.name());
		request.queueCost = cost(request);
		boolean full = this.context.queuedRequests() >= CoreLimits.MAXIMUM_QUEUED_REQUESTS;
		if (full || (this.context.policy.earlyRefusal() && tooLate(queue, request))) {
			this.context.count("refused_on_arrival");
			refuse(request);
			return;
		}
		queue.add(request);
	}

	void enqueueAgain(RequestEntry request) {
		request.queueCost = cost(request);
		this.context.queue(request.service.name()).addFirst(request);
	}

	void served(RequestEntry request) {
		meter(request.service.name()).served(request.queueCost);
	}

	void tick() {
		if (this.expiryPeriod.due(this.context.nowMillis)) {
			this.context.queues.values().forEach(this::refuseExpired);
		}
		if (this.ratePeriod.due(this.context.nowMillis)) {
			this.context.queues
				.forEach((service, queue) -> meter(service).tick(this.context.nowMillis, queue.size() > 0));
		}
	}

	/**
	 * Refuses a request that waits or has just arrived.
	 * @param request the request
	 */
	void refuse(RequestEntry request) {
		refuse(request, RefusalCode.OVERLOADED);
	}

	void refuse(RequestEntry request, RefusalCode code) {
		Verdict verdict = request.mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
		this.finish.refuse(request, code, verdict, retryAfterMillis(request.service.name()));
	}

	/**
	 * Returns when a refused caller should come back: after the queue has drained, spread
	 * so that callers do not return together.
	 * @param service name of the service
	 * @return milliseconds
	 */
	long retryAfterMillis(String service) {
		double cost = this.context.queue(service).requests().mapToDouble((request) -> request.queueCost).sum();
		double drainMillis = meter(service).drainMillis(cost);
		double base = Math.max(MINIMUM_RETRY_MILLIS, Math.min(drainMillis, MAXIMUM_RETRY_MILLIS / 2));
		return (long) (base * (1 + this.context.random.nextDouble()));
	}

	private boolean tooLate(FairQueue queue, RequestEntry request) {
		if (queue.size() == 0) {
			return false;
		}
		double waitMillis = meter(request.service.name()).drainMillis(queue.costAhead(request));
		return waitMillis > request.spec.deadlineMillis();
	}

	private void refuseExpired(FairQueue queue) {
		queue.removeIf((request) -> this.context.nowMillis >= request.deadlineAtMillis).forEach((request) -> {
			this.context.count("refused_at_deadline");
			refuse(request);
		});
	}

	private double cost(RequestEntry request) {
		double output = this.context.lengths.estimator(request).meanRemaining(0);
		return request.spec.promptTokens() + Math.min(output, request.spec.maximumOutputTokens());
	}

	private DrainMeter meter(String service) {
		return this.meters.computeIfAbsent(service, (name) -> new DrainMeter());
	}

}
