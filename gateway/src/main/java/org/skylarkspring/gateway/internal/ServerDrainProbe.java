package org.skylarkspring.gateway.internal;

import java.util.Map;

/**
 * Asks the servers that stream generations to this instance whether they are draining.
 * Does so only while the configuration is stale, because the store cannot report drains
 * then.
 */
final class ServerDrainProbe {

	/** Twice the interval at which the configuration is normally confirmed. */
	private static final long STALE_CONFIGURATION_MILLIS = 2_000;

	/**
	 * A quarter of the shortest time between the announcement of a drain and the end of a
	 * server.
	 */
	private static final long PROBE_INTERVAL_MILLIS = 400;

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final ServerTable servers;

	ServerDrainProbe(GatewayContext context, ConfigurationPoller configuration, ServerTable servers) {
		this.context = context;
		this.configuration = configuration;
		this.servers = servers;
	}

	void start() {
		this.context.scheduler.schedule(PROBE_INTERVAL_MILLIS, this::tick);
	}

	private void tick() {
		this.context.scheduler.schedule(PROBE_INTERVAL_MILLIS, this::tick);
		long configurationAgeMillis = this.configuration.ageMillis();
		if (configurationAgeMillis < 0 || configurationAgeMillis > STALE_CONFIGURATION_MILLIS) {
			this.servers.all()
				.stream()
				.filter((entry) -> !entry.terminating && hasActiveStream(entry))
				.forEach(this::probe);
		}
	}

	private static boolean hasActiveStream(ServerEntry entry) {
		return entry.attempts.stream().anyMatch((attempt) -> attempt.relayedEvents > 0);
	}

	private void probe(ServerEntry entry) {
		this.context.metrics.recordDecision("server asked whether it leaves");
		this.context.client.sendAsync(entry.registration.address(), this.context.serverProtocol.buildReportRequest(),
				PROBE_INTERVAL_MILLIS, (result) -> {
					if (this.context.serverProtocol.reportsDraining(result)) {
						this.context.log.logStateChange("server reported that it is draining", Map.of("server",
								entry.registration.id(), "configuration-age-millis", this.configuration.ageMillis()));
						this.servers.markTerminating(entry.registration.incarnation());
					}
				});
	}

}
