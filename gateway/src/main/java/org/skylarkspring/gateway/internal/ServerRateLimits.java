package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.Stream;

import org.skylarkspring.gateway.model.NamedRateLimit;
import org.skylarkspring.gateway.policy.RateLimitKnowledge;

/**
 * Divides the request rates that servers name in their responses between the instances.
 * Each instance uses its own share only, so that the sum holds although instances may be
 * unable to reach each other.
 */
final class ServerRateLimits {

	/**
	 * Requests that a server tolerates at once beyond its rate. Each instance may send
	 * one request at any moment, so no more than these and those of one second may share
	 * a server.
	 */
	private static final double BURST_ALLOWANCE_REQUESTS = 5;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final GatewayContext context;

	private final ServerTable servers;

	private final PeerTable peers;

	private Runnable changeListener = () -> {
	};

	ServerRateLimits(GatewayContext context, ServerTable servers, PeerTable peers) {
		this.context = context;
		this.servers = servers;
		this.peers = peers;
	}

	/**
	 * Sets the listener that is called when a response has changed a limit.
	 * @param listener the listener
	 */
	void setChangeListener(Runnable listener) {
		this.changeListener = listener;
	}

	/**
	 * Records what a response says about the limit of its server.
	 * @param entry the server
	 * @param named limit named by the response
	 */
	void recordResponse(ServerEntry entry, NamedRateLimit named) {
		if (named instanceof NamedRateLimit.Invalid invalid) {
			this.context.metrics.recordDecision("invalid rate limit ignored");
			this.context.log.logStateChange("invalid rate limit of server ignored",
					Map.of("server", entry.registration.id(), "text", invalid.text()));
			return;
		}
		double requestsPerSecond = (named instanceof NamedRateLimit.Limited limited) ? limited.requestsPerSecond() : 0;
		if (observe(entry, new RateLimitKnowledge.Observation(requestsPerSecond, now()), "response")) {
			this.changeListener.run();
		}
	}

	/**
	 * Applies the limits reported by another instance. Ignores those of earlier
	 * incarnations of a server.
	 * @param reported reported limits
	 * @return whether any limit has changed
	 */
	boolean applyReported(List<PeerLoadReport.RateLimit> reported) {
		boolean changed = false;
		for (PeerLoadReport.RateLimit limit : reported) {
			changed |= this.servers.find(limit.incarnation().serverId())
				.filter((entry) -> entry.registration.incarnation().equals(limit.incarnation()))
				.filter((entry) -> observe(entry,
						new RateLimitKnowledge.Observation(limit.requestsPerSecond(), now() - limit.ageMillis()),
						"peer"))
				.isPresent();
		}
		return changed;
	}

	/**
	 * Returns what this instance knows of limits, from its own responses and from others.
	 * @return limits to report to other instances
	 */
	List<PeerLoadReport.RateLimit> toReport() {
		return this.servers.all().stream().flatMap(this::toReport).toList();
	}

	private Stream<PeerLoadReport.RateLimit> toReport(ServerEntry entry) {
		return entry.rateLimit.recent(now())
			.map((observation) -> new PeerLoadReport.RateLimit(entry.registration.incarnation(),
					observation.requestsPerSecond(), now() - observation.observedMillis()))
			.stream();
	}

	private boolean observe(ServerEntry entry, RateLimitKnowledge.Observation observation, String source) {
		boolean changed = entry.rateLimit.observe(observation);
		if (changed) {
			this.context.metrics.recordDecision("server rate limit changed");
			this.context.log.logStateChange("server rate limit changed",
					Map.of("server", entry.registration.id(), "requests-per-second", observation.requestsPerSecond(),
							"source", source, "age-millis", now() - observation.observedMillis(), "sharing-instances",
							sharingInstances(entry, observation.requestsPerSecond())));
		}
		return changed;
	}

	boolean isLimited(ServerEntry entry) {
		return entry.rateLimit.requestsPerSecond(now()).isPresent();
	}

	/**
	 * Returns the time until this instance may send a request to a server.
	 * @param entry the server
	 * @return the time in milliseconds, 0 if a request may be sent now; if this instance
	 * does not share the server, the usual time until another instance may
	 */
	long millisUntilPermit(ServerEntry entry) {
		OptionalDouble limit = entry.rateLimit.requestsPerSecond(now());
		if (limit.isEmpty()) {
			return 0;
		}
		int sharing = sharingInstances(entry, limit.getAsDouble());
		return (sharing > 0) ? entry.namedRateLimiter.millisUntilPermit(now(), limit.getAsDouble(), sharing)
				: (long) Math.ceil(MILLIS_PER_SECOND / limit.getAsDouble());
	}

	/**
	 * Takes a permit for a request from this instance's share of a server's limit.
	 * @param entry the server
	 * @return whether the request may be sent; always if the server names no limit
	 */
	boolean tryAcquire(ServerEntry entry) {
		OptionalDouble limit = entry.rateLimit.requestsPerSecond(now());
		if (limit.isEmpty()) {
			return true;
		}
		int sharing = sharingInstances(entry, limit.getAsDouble());
		return sharing > 0 && entry.namedRateLimiter.tryAcquire(now(), limit.getAsDouble(), sharing);
	}

	private int sharingInstances(ServerEntry entry, double requestsPerSecond) {
		return this.peers.sharingInstanceCount(entry.registration.id(), requestsPerSecond + BURST_ALLOWANCE_REQUESTS);
	}

	private long now() {
		return this.context.scheduler.nowMillis();
	}

}
