package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.function.IntSupplier;

import org.skylarkspring.gateway.model.RequestSemantics;

/**
 * Readiness and shutdown of the instance.
 */
final class Lifecycle {

	/**
	 * Time in which callers' new connections stop coming: two missed polls and a margin.
	 */
	private static final long MINIMUM_DRAIN_MILLIS = 3_000;

	/** Two missed polls of readiness, after which new connections go elsewhere. */
	private static final long READINESS_PROPAGATION_MILLIS = 2_500;

	/** Kept free at the end of the grace period to close down. */
	private static final long EXIT_MARGIN_MILLIS = 300;

	private static final long POLL_INTERVAL_MILLIS = 50;

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final long graceMillis;

	private final ConfigurationPoller configuration;

	private final ServerTable servers;

	private long shutdownStartedAtMillis = -1;

	private boolean lastReportedReady;

	Lifecycle(Scheduler scheduler, DecisionLog log, long graceMillis, ConfigurationPoller configuration,
			ServerTable servers) {
		this.scheduler = scheduler;
		this.log = log;
		this.graceMillis = graceMillis;
		this.configuration = configuration;
		this.servers = servers;
	}

	boolean isStopping() {
		return this.shutdownStartedAtMillis >= 0;
	}

	/**
	 * Returns whether new callers should come here.
	 * @return {@code true} if requests can be served
	 */
	boolean isReady() {
		boolean now = !isStopping() && this.servers.hasSynced() && this.configuration.routingTable().isPresent()
				&& this.configuration.isFresh();
		if (now != this.lastReportedReady) {
			this.lastReportedReady = now;
			this.log.logStateChange(now ? "ready" : "not ready", Map.of("stopping", isStopping(), "servers-listed",
					this.servers.hasSynced(), "configuration-age-millis", this.configuration.ageMillis()));
		}
		return now;
	}

	/**
	 * Returns whether a request might not end before the process does. Generations that
	 * may not be repeated are refused at once, everything else once callers have had the
	 * time to go elsewhere.
	 * @param kind kind of the request
	 * @return {@code true} if it should go to another instance
	 */
	boolean shouldReject(RequestSemantics kind) {
		return isStopping()
				&& (kind == RequestSemantics.STREAM || millisSinceShutdownStart() > READINESS_PROPAGATION_MILLIS);
	}

	private long millisSinceShutdownStart() {
		return this.scheduler.nowMillis() - this.shutdownStartedAtMillis;
	}

	/**
	 * Starts to shut down.
	 * @param active returns the number of requests being served
	 * @param exit ends the process
	 */
	void startShutdown(IntSupplier active, Runnable exit) {
		if (isStopping()) {
			return;
		}
		this.shutdownStartedAtMillis = this.scheduler.nowMillis();
		this.log.logStateChange("shutting down", Map.of("active", active.getAsInt()));
		pollShutdown(active, exit);
	}

	private void pollShutdown(IntSupplier active, Runnable exit) {
		long passed = millisSinceShutdownStart();
		boolean idle = passed >= MINIMUM_DRAIN_MILLIS && active.getAsInt() == 0;
		boolean late = passed >= this.graceMillis - EXIT_MARGIN_MILLIS;
		if (idle || late) {
			this.log.logStateChange("stopped", Map.of("active", active.getAsInt(), "millis", passed));
			exit.run();
			return;
		}
		this.scheduler.schedule(POLL_INTERVAL_MILLIS, () -> pollShutdown(active, exit));
	}

}
