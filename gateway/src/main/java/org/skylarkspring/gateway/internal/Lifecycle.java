package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.function.IntSupplier;

import org.skylarkspring.gateway.model.CallKind;

/**
 * Readiness and shutdown of the instance.
 */
final class Lifecycle {

	/**
	 * Time in which callers' new connections stop coming: two missed polls and a margin.
	 */
	private static final long UNREADY_MILLIS = 3_000;

	/** Two missed polls of readiness, after which new connections go elsewhere. */
	private static final long TAKEN_MILLIS = 2_500;

	/** Kept free at the end of the grace period to close down. */
	private static final long EXIT_MARGIN_MILLIS = 300;

	private static final long POLL_MILLIS = 50;

	private final TimeSource time;

	private final DecisionLog log;

	private final long graceMillis;

	private final ConfigurationFeed configuration;

	private final ServerTable servers;

	private long stoppingSinceMillis = -1;

	private boolean ready;

	Lifecycle(TimeSource time, DecisionLog log, long graceMillis, ConfigurationFeed configuration,
			ServerTable servers) {
		this.time = time;
		this.log = log;
		this.graceMillis = graceMillis;
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
			this.log.change(now ? "ready" : "not ready", Map.of("stopping", stopping(), "servers-listed",
					this.servers.listed(), "configuration-age-millis", this.configuration.ageMillis()));
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
	boolean refuses(CallKind kind) {
		return stopping() && (kind == CallKind.STREAM || stoppingMillis() > TAKEN_MILLIS);
	}

	private long stoppingMillis() {
		return this.time.nowMillis() - this.stoppingSinceMillis;
	}

	/**
	 * Starts to shut down.
	 * @param active returns the number of requests being served
	 * @param exit ends the process
	 */
	void stop(IntSupplier active, Runnable exit) {
		if (stopping()) {
			return;
		}
		this.stoppingSinceMillis = this.time.nowMillis();
		this.log.change("shutting down", Map.of("active", active.getAsInt()));
		poll(active, exit);
	}

	private void poll(IntSupplier active, Runnable exit) {
		long passed = stoppingMillis();
		boolean idle = passed >= UNREADY_MILLIS && active.getAsInt() == 0;
		boolean late = passed >= this.graceMillis - EXIT_MARGIN_MILLIS;
		if (idle || late) {
			this.log.change("stopped", Map.of("active", active.getAsInt(), "millis", passed));
			exit.run();
			return;
		}
		this.time.after(POLL_MILLIS, () -> poll(active, exit));
	}

}
