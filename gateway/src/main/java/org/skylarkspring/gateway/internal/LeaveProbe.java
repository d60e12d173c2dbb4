package org.skylarkspring.gateway.internal;

import java.util.Map;

/**
 * Asks servers that run generations of this instance whether they leave, while the store
 * can't tell.
 */
final class LeaveProbe {

	/** Twice the interval at which the configuration is confirmed while all is well. */
	private static final long OUT_OF_TOUCH_MILLIS = 2_000;

	/** A quarter of the shortest notice that a server gives. */
	private static final long INTERVAL_MILLIS = 400;

	private final GatewayContext context;

	private final ConfigurationFeed configuration;

	private final ServerTable servers;

	LeaveProbe(GatewayContext context, ConfigurationFeed configuration, ServerTable servers) {
		this.context = context;
		this.configuration = configuration;
		this.servers = servers;
	}

	void start() {
		this.context.time.after(INTERVAL_MILLIS, this::tick);
	}

	private void tick() {
		long age = this.configuration.ageMillis();
		if (age < 0 || age > OUT_OF_TOUCH_MILLIS) {
			this.servers.all().stream().filter((entry) -> !entry.leaving && runsStream(entry)).forEach(this::ask);
		}
		this.context.time.after(INTERVAL_MILLIS, this::tick);
	}

	private static boolean runsStream(ServerEntry entry) {
		return entry.attempts.stream().anyMatch((attempt) -> attempt.events > 0);
	}

	private void ask(ServerEntry entry) {
		this.context.metrics.decision("server asked whether it leaves");
		this.context.client.call(entry.listing.address(), this.context.servers.report(), INTERVAL_MILLIS, (result) -> {
			if (this.context.servers.reportsLeaving(result)) {
				this.context.log.change("server says that it leaves", Map.of("server", entry.listing.id(),
						"configuration-age-millis", this.configuration.ageMillis()));
				this.servers.noticedLeaving(entry.listing.run());
			}
		});
	}

}
