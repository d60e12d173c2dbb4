package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.ServiceKind;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.WorkClass;
import org.skylarkspring.core.policy.PlacementView;

/**
 * Places queued requests on backend servers.
 */
final class PlacementSystem {

	/**
	 * Likelihood that a server has cached a prefix after this instance placed a request
	 * with that prefix on it.
	 */
	private static final double PLACED_PREFIX_LIKELIHOOD = 0.6;

	private final CoreContext context;

	private final MembershipSystem membershipSystem;

	private final QueueSystem queueSystem;

	private final LoadSystem loadSystem;

	private final WarmupSystem warmupSystem;

	private long lastPlacementNumber;

	PlacementSystem(CoreContext context, MembershipSystem membershipSystem, QueueSystem queueSystem,
			LoadSystem loadSystem, WarmupSystem warmupSystem) {
		this.context = context;
		this.membershipSystem = membershipSystem;
		this.queueSystem = queueSystem;
		this.loadSystem = loadSystem;
		this.warmupSystem = warmupSystem;
	}

	void tick() {
		List.copyOf(this.context.queues.values()).forEach(this::placeWaitingRequests);
	}

	private void placeWaitingRequests(WeightedFairQueue queue) {
		Optional<RequestEntry> next = queue.peek();
		while (next.isPresent()) {
			RequestEntry request = next.get();
			Optional<ServerEntry> server = chooseServer(request);
			if (server.isEmpty()) {
				rejectIfUnplaceable(queue, request);
				return;
			}
			queue.removeServed(request);
			this.queueSystem.recordServed(request);
			place(request, server.get(), 0);
			next = queue.peek();
		}
	}

	/**
	 * Dispatches a request to a server.
	 * @param request the request
	 * @param server the server
	 * @param resumeOffset tokens already delivered to the caller, 0 for a new generation
	 */
	void place(RequestEntry request, ServerEntry server, int resumeOffset) {
		AttemptEntry attempt = new AttemptEntry(this.context.nextAttemptId(), request, server, this.context.nowMillis);
		attempt.outputTokens = resumeOffset;
		attempt.resumed = resumeOffset > 0;
		request.currentAttempt = attempt;
		request.attemptCount++;
		server.attempts.add(attempt);
		this.lastPlacementNumber++;
		server.lastPlacementNumber = this.lastPlacementNumber;
		this.context.requests.addAttempt(attempt);
		this.loadSystem.recordPlacement(attempt);
		if (request.spec.prefixHash() != 0) {
			server.prefixLikelihoods.merge(request.spec.prefixHash(), PLACED_PREFIX_LIKELIHOOD, Math::max);
		}
		if (resumeOffset == 0 && request.service.kind() == ServiceKind.GENERATION) {
			this.context.outputLengths.recordGrowth(request, -1, 0);
		}
		this.context.incrementCounter("dispatches");
		this.context.emit(new Action.Dispatch(request.requestId, attempt.attemptId, server.serverId,
				server.instanceRecord.address(), request.workspace.workClass().enginePriority(), resumeOffset));
	}

	/**
	 * Returns the server with the lowest cost among those that admit a request.
	 * @param request the request
	 * @return the server, empty if no server admits the request now
	 */
	Optional<ServerEntry> chooseServer(RequestEntry request) {
		double tokens = request.spec.promptTokens() + this.loadSystem.reservedTokens(request, 0);
		return this.context.servers.serversOfPool(request.service.pool())
			.stream()
			.filter((server) -> server.isEligible(this.context.nowMillis))
			.filter((server) -> !request.triedServers.contains(server.serverId))
			.filter((server) -> server.attempts.size() < this.warmupSystem.ownLimit(server))
			.map((server) -> new Candidate(server, createView(server, request, tokens)))
			.filter((candidate) -> this.context.policy.admission().admits(candidate.view()))
			.map((candidate) -> new RankedServer(candidate.server(), cost(candidate.view())))
			.min(Comparator.comparingDouble(RankedServer::cost))
			.map(RankedServer::server);
	}

	private double cost(PlacementView view) {
		double jitter = this.context.policy.costJitter();
		return this.context.policy.cost().cost(view) + ((jitter > 0) ? jitter * this.context.random.nextDouble() : 0);
	}

	private PlacementView createView(ServerEntry server, RequestEntry request, double tokens) {
		int totalBlocks = server.lastReport().map((report) -> report.totalBlocks()).orElse(0);
		int blockTokens = server.lastReport().map((report) -> report.blockTokens()).orElse(0);
		double limit = Math.min(server.concurrencyLimit, this.warmupSystem.totalLimit(server));
		return new PlacementView(server.attempts.size(), server.projectedRunning(), Math.max(1, limit),
				server.projectedBlocks(), (blockTokens > 0) ? tokens / blockTokens : 0, totalBlocks,
				server.prefixLikelihood(request.spec.prefixHash()), request.spec.prefixTokens(),
				server.instanceRecord.dataCentre().equals(this.context.dataCentre), server.unreportedPlacements,
				this.membershipSystem.countSharingInstances(server), server.lastPlacementNumber,
				request.workspace.workClass() == WorkClass.INTERACTIVE);
	}

	// Rejects all queued requests if the pool has no server in service, or only the given
	// request if it has been tried on all servers of the pool.
	private void rejectIfUnplaceable(WeightedFairQueue queue, RequestEntry request) {
		boolean noServerInService = this.context.servers.serversOfPool(request.service.pool())
			.stream()
			.noneMatch(ServerEntry::isInService);
		if (noServerInService) {
			queue.removeIf((queued) -> true)
				.forEach((rejected) -> this.queueSystem.failWithRetryAfter(rejected, ErrorCode.NO_CAPACITY));
			return;
		}
		boolean allServersTried = request.triedServers
			.size() >= this.context.servers.serversOfPool(request.service.pool()).size();
		if (allServersTried) {
			queue.removeIf((candidate) -> candidate == request)
				.forEach((rejected) -> this.queueSystem.failWithRetryAfter(rejected, ErrorCode.NO_CAPACITY));
		}
	}

	private record Candidate(ServerEntry server, PlacementView view) {
	}

	private record RankedServer(ServerEntry server, double cost) {
	}

}
