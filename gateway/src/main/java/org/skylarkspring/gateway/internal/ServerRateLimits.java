package org.skylarkspring.gateway.internal;

import java.util.Map;

import org.skylarkspring.gateway.model.NamedRateLimit;
import org.skylarkspring.gateway.policy.RateLimitKnowledge;

/**
 * Records the request rate limits that servers name in their responses.
 */
final class ServerRateLimits {

	private final GatewayContext context;

	ServerRateLimits(GatewayContext context) {
		this.context = context;
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
		observe(entry, new RateLimitKnowledge.Observation(requestsPerSecond, this.context.scheduler.nowMillis()),
				"response");
	}

	private void observe(ServerEntry entry, RateLimitKnowledge.Observation observation, String source) {
		if (entry.rateLimit.observe(observation)) {
			this.context.metrics.recordDecision("server rate limit changed");
			this.context.log.logStateChange("server rate limit changed",
					Map.of("server", entry.registration.id(), "requests-per-second", observation.requestsPerSecond(),
							"source", source, "age-millis",
							this.context.scheduler.nowMillis() - observation.observedMillis()));
		}
	}

}
