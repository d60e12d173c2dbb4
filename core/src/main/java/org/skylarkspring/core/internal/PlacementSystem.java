package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.ServiceKind;
import org.skylarkspring.core.model.RefusalCode;
import org.skylarkspring.core.model.WorkClass;
import org.skylarkspring.core.policy.PlacementView;

/**
 * Places waiting requests on servers.
 */
final class PlacementSystem {

	/**
	 * Likelihood that a prefix is cached after this instance placed a request with it.
	 */
	private static final double OWN_PREFIX_LIKELIHOOD = 0.6;

	private final CoreContext context;

	private final MembershipSystem membership;

	private final QueueSystem queue;

	private final LoadSystem loads;

	private final RampSystem ramps;

	private long placements;

	PlacementSystem(CoreContext context, MembershipSystem membership, QueueSystem queue, LoadSystem loads,
			RampSystem ramps) {
		this.context = context;
		this.membership = membership;
		this.queue = queue;
		this.loads = loads;
		this.ramps = ramps;
	}

	void tick() {
		List.copyOf(this.context.queues.values()).forEach(this::drain);
	}

	private void drain(FairQueue waiting) {
		Optional<RequestEntry> next = waiting.peek();
		while (next.isPresent()) {
			RequestEntry request = next.get();
			Optional<ServerEntry> server = choose(request);
			if (server.isEmpty()) {
				refuseWithoutServers(waiting, request);
				return;
			}
			waiting.served(request);
			this.queue.served(request);
			place(request, server.get(), 0);
			next = waiting.peek();
		}
	}

	/**
	 * Sends a request to a server.
	 * @param request the request
	 * @param server the server
	 * @param resumeOffset 0 for a new generation
	 */
	void place(RequestEntry request, ServerEntry server, int resumeOffset) {
		AttemptEntry attempt = new AttemptEntry(this.context.nextAttemptId(), request, server, this.context.nowMillis);
		attempt.outputTokens = resumeOffset;
		attempt.resumed = resumeOffset > 0;
		request.attempt = attempt;
		request.attempts++;
		server.attempts.add(attempt);
		this.placements++;
		server.lastPlacement = this.placements;
		this.context.requests.addAttempt(attempt);
		this.loads.placed(attempt);
		if (request.spec.prefixHash() != 0) {
			server.prefixes.merge(request.spec.prefixHash(), OWN_PREFIX_LIKELIHOOD, Math::max);
		}
		if (resumeOffset == 0 && request.service.kind() == ServiceKind.GENERATION) {
			this.context.lengths.grown(request, -1, 0);
		}
		this.context.count("dispatches");
		this.context.emit(new Action.Dispatch(request.requestId, attempt.attemptId, server.serverId,
				server.listing.address(), request.workspace.workClass().enginePriority(), resumeOffset));
	}

	/**
	 * Returns the best server for a request.
	 * @param request the request
	 * @return the server, empty if none admits it now
	 */
	Optional<ServerEntry> choose(RequestEntry request) {
		double tokens = request.spec.promptTokens() + this.loads.promisedTokens(request, 0);
		return this.context.servers.pool(request.service.pool())
			.stream()
			.filter((server) -> server.mayReceive(this.context.nowMillis))
			.filter((server) -> !request.triedServers.contains(server.serverId))
			.filter((server) -> server.attempts.size() < this.ramps.ownLimit(server))
			.map((server) -> new Candidate(server, view(server, request, tokens)))
			.filter((candidate) -> this.context.policy.admission().admits(candidate.view()))
			.map((candidate) -> new Ranked(candidate.server(), cost(candidate.view())))
			.min(Comparator.comparingDouble(Ranked::cost))
			.map(Ranked::server);
	}

	private double cost(PlacementView view) {
		double jitter = this.context.policy.costJitter();
		return this.context.policy.cost().cost(view) + ((jitter > 0) ? jitter * this.context.random.nextDouble() : 0);
	}

	private PlacementView view(ServerEntry server, RequestEntry request, double tokens) {
		int totalBlocks = server.report().map((report) -> report.totalBlocks()).orElse(0);
		int blockTokens = server.report().map((report) -> report.blockTokens()).orElse(0);
		double limit = Math.min(server.concurrencyLimit, this.ramps.totalLimit(server));
		return new PlacementView(server.attempts.size(), server.projectedRunning(), Math.max(1, limit),
				server.projectedBlocks(), (blockTokens > 0) ? tokens / blockTokens : 0, totalBlocks,
				server.prefixLikelihood(request.spec.prefixHash()), request.spec.prefixTokens(),
				server.listing.dataCentre().equals(this.context.dataCentre), server.unreportedPlacements,
				this.membership.sharers(server), server.lastPlacement,
				request.workspace.workClass() == WorkClass.INTERACTIVE);
	}

	// Refuses everything that waits if no server of the pool could ever take it.
	private void refuseWithoutServers(FairQueue waiting, RequestEntry request) {
		boolean hopeless = this.context.servers.pool(request.service.pool()).stream().noneMatch(ServerEntry::inService);
		if (hopeless) {
			waiting.removeIf((any) -> true).forEach((refused) -> this.queue.refuse(refused, RefusalCode.NO_CAPACITY));
			return;
		}
		boolean exhausted = request.triedServers.size() >= this.context.servers.pool(request.service.pool()).size();
		if (exhausted) {
			waiting.removeIf((candidate) -> candidate == request)
				.forEach((refused) -> this.queue.refuse(refused, RefusalCode.NO_CAPACITY));
		}
	}

	private record Candidate(ServerEntry server, PlacementView view) {
	}

	private record Ranked(ServerEntry server, double cost) {
	}

}
