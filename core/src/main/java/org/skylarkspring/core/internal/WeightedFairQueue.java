package org.skylarkspring.core.internal;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Queue of the requests of one service that wait for a server. With weighting, the
 * workspaces that have waiting requests are served in proportion to their weights,
 * measured by request cost, and the requests of one workspace in order of arrival.
 * Without weighting, all requests are served in order of arrival.
 */
final class WeightedFairQueue {

	private final Map<String, WorkspaceQueue> queuesByWorkspace = new LinkedHashMap<>();

	private final boolean weighted;

	private double virtualTime;

	private long nextArrivalNumber;

	private int size;

	WeightedFairQueue(boolean weighted) {
		this.weighted = weighted;
	}

	void add(RequestEntry request) {
		queueOf(request).requests.addLast(new QueuedRequest(request, this.nextArrivalNumber++));
		this.size++;
	}

	/**
	 * Puts a request back at the front of its workspace's queue.
	 * @param request the request
	 */
	void addFirst(RequestEntry request) {
		queueOf(request).requests.addFirst(new QueuedRequest(request, -this.nextArrivalNumber++));
		this.size++;
	}

	Optional<RequestEntry> peek() {
		return nextQueue().map((queue) -> queue.requests.getFirst().request());
	}

	/**
	 * Removes the request that {@link #peek()} returned and charges its cost to its
	 * workspace.
	 * @param request the request
	 */
	void removeServed(RequestEntry request) {
		WorkspaceQueue queue = queueOf(request);
		queue.requests.removeFirst();
		this.size--;
		this.virtualTime = Math.max(this.virtualTime, queue.virtualStart);
		queue.virtualStart += request.queueCost / queue.weight;
		removeIfIdle(request.workspace.name(), queue);
	}

	/**
	 * Removes all requests that match a condition, without charging their workspaces.
	 * @param condition the condition
	 * @return the removed requests
	 */
	List<RequestEntry> removeIf(Predicate<RequestEntry> condition) {
		List<RequestEntry> removed = requests().filter(condition).toList();
		if (!removed.isEmpty()) {
			this.queuesByWorkspace.values()
				.forEach((queue) -> queue.requests.removeIf((waiting) -> removed.contains(waiting.request())));
			this.size -= removed.size();
			this.queuesByWorkspace.values().removeIf((queue) -> queue.isIdle(this.virtualTime));
		}
		return removed;
	}

	/**
	 * Returns the cost served before a new request, assuming that no workspace exceeds
	 * its share.
	 * @param request the new request
	 * @return cost in tokens
	 */
	double costAhead(RequestEntry request) {
		if (!this.weighted) {
			return requests().mapToDouble((waiting) -> waiting.queueCost).sum();
		}
		WorkspaceQueue own = this.queuesByWorkspace.get(request.workspace.name());
		double weight = request.workspace.weight();
		double ownCost = (own != null) ? own.totalCost() : 0;
		double ownStart = (own != null) ? Math.max(own.virtualStart, this.virtualTime) : this.virtualTime;
		double virtualFinish = ownStart + ownCost / weight;
		return this.queuesByWorkspace.values().stream().mapToDouble((queue) -> queue.costBefore(virtualFinish)).sum();
	}

	Stream<RequestEntry> requests() {
		return this.queuesByWorkspace.values()
			.stream()
			.flatMap((queue) -> queue.requests.stream())
			.map(QueuedRequest::request);
	}

	int size() {
		return this.size;
	}

	private Optional<WorkspaceQueue> nextQueue() {
		Comparator<WorkspaceQueue> order = this.weighted
				? Comparator.comparingDouble((queue) -> Math.max(queue.virtualStart, 0))
				: Comparator.comparingLong((queue) -> queue.requests.getFirst().arrivalNumber());
		Collection<WorkspaceQueue> queues = this.queuesByWorkspace.values();
		return queues.stream().filter((queue) -> !queue.requests.isEmpty()).min(order);
	}

	private WorkspaceQueue queueOf(RequestEntry request) {
		WorkspaceQueue queue = this.queuesByWorkspace.computeIfAbsent(request.workspace.name(), (name) -> {
			WorkspaceQueue created = new WorkspaceQueue();
			created.virtualStart = this.virtualTime;
			return created;
		});
		queue.weight = request.workspace.weight();
		if (queue.requests.isEmpty()) {
			queue.virtualStart = Math.max(queue.virtualStart, this.virtualTime);
		}
		return queue;
	}

	private void removeIfIdle(String workspace, WorkspaceQueue queue) {
		if (queue.isIdle(this.virtualTime)) {
			this.queuesByWorkspace.remove(workspace);
		}
	}

	private static final class WorkspaceQueue {

		private final Deque<QueuedRequest> requests = new ArrayDeque<>();

		private double virtualStart;

		private double weight = 1;

		private double totalCost() {
			return this.requests.stream().mapToDouble((waiting) -> waiting.request().queueCost).sum();
		}

		private double costBefore(double virtualFinish) {
			double maximumCost = Math.max(0, (virtualFinish - this.virtualStart) * this.weight);
			return Math.min(totalCost(), maximumCost);
		}

		private boolean isIdle(double virtualTime) {
			return this.requests.isEmpty() && this.virtualStart <= virtualTime;
		}

	}

	private record QueuedRequest(RequestEntry request, long arrivalNumber) {
	}

}
