package org.skylarkspring.gateway.internal;

import java.util.Map;

import org.skylarkspring.gateway.model.CallKind;

/**
 * Readiness and shutdown of the instance.
 */
final class Lifecycle {

	/**
	 * Time in which callers' new connections stop coming: two missed polls and a margin.
	 */
	private static final long UNREADY_MILLIS = 3_000;

	/** Kept free at the end of the grace period to close down. */
	private static final long EXIT_MARGIN_MILLIS = 300;

	private static final long POLL_MILLIS = 50;

	private final GatewayContext context;

	private final ConfigurationFeed configuration;

	private final ServerTable servers;

	private long stoppingSinceMillis = -1;

	private boolean ready;

	Lifecycle(GatewayContext context, ConfigurationFeed configuration, ServerTable servers) {
		this.context = context;
		this.configuration = configuration;
		this.servers = servers;
	}

	boolean stopping() {
		return this.stoppingSinceMillis >= 0;
	}

	/**
	 * Returns whether new callers should come here.
	 * @return {@code true} if requests can be served
	 */
	boolean ready() {
		boolean now = !stopping() && this.servers.listed() && this.configuration.table().isPresent()
				&& this.configuration.fresh();
		if (now != this.ready) {
			this.ready = now;
			this.context.log.change(now ? "ready" : "not ready", Map.of("stopping", stopping(), "servers-listed",
					this.servers.listed(), "configuration-age-millis", this.configuration.ageMillis()));
		}
		return now;
	}

	/**
	 * Returns whether a request would not end before the process does.
	 * @param kind kind of the request
	 * @return {@code true} if it should go to another instance
	 */
	boolean refuses(CallKind kind) {
		return stopping() && kind == CallKind.STREAM;
	}

	/**
	 * Starts to shut down.
	 * @param active returns the number of requests being served
	 * @param exit ends the process
	 */
	void stop(java.util.function.IntSupplier active, Runnable exit) {
		if (stopping()) {
			return;
		}
		this.stoppingSinceMillis = this.context.time.nowMillis();
		this.context.log.change("shutting down", Map.of("active", active.getAsInt()));
		poll(active, exit);
	}

	private void poll(java.util.function.IntSupplier active, Runnable exit) {
		long passed = this.context.time.nowMillis() - this.stoppingSinceMillis;
		boolean idle = passed >= UNREADY_MILLIS && active.getAsInt() == 0;
		boolean late = passed >= this.context.settings.shutdownGraceMillis() - EXIT_MARGIN_MILLIS;
		if (idle || late) {
			this.context.log.change("stopped", Map.of("active", active.getAsInt(), "millis", passed));
			exit.run();
			return;
		}
		this.context.time.after(POLL_MILLIS, () -> poll(active, exit));
	}

}
