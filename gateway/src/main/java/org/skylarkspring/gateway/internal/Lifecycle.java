package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.function.IntSupplier;

import org.skylarkspring.gateway.model.RequestSemantics;

/**
 * Controls the readiness and the shutdown of the instance.
 */
final class Lifecycle {

	/**
	 * Minimum time before exit, so that callers stop opening new connections: two failed
	 * readiness polls and a margin.
	 */
	private static final long MINIMUM_DRAIN_MILLIS = 3_000;

	/**
	 * Time of two failed readiness polls, after which new connections go to other
	 * instances.
	 */
	private static final long READINESS_PROPAGATION_MILLIS = 2_500;

	/**
	 * Time before the end of the grace period at which the remaining requests are ended,
	 * so that their callers get a response.
	 */
	private static final long END_OF_REQUESTS_MARGIN_MILLIS = 300;

	/** Time reserved at the end of the grace period for the exit of the process. */
	private static final long EXIT_MARGIN_MILLIS = 200;

	private static final long POLL_INTERVAL_MILLIS = 50;

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final long graceMillis;

	private final ConfigurationPoller configuration;

	private final ServerTable servers;

	private long shutdownStartedAtMillis = -1;

	/** Whether the requests that were still active have been ended. */
	private boolean requestsEnded;

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
	 * Returns whether the instance should receive new requests, and logs each change of
	 * this readiness.
	 * @return {@code true} if requests can be served
	 */
	boolean isReady() {
		boolean ready = !isStopping() && this.servers.hasSynced() && this.configuration.routingTable().isPresent()
				&& this.configuration.isFresh();
		if (ready != this.lastReportedReady) {
			this.lastReportedReady = ready;
			this.log.logStateChange(ready ? "ready" : "not ready", Map.of("stopping", isStopping(), "servers-listed",
					this.servers.hasSynced(), "configuration-age-millis", this.configuration.ageMillis()));
		}
		return ready;
	}

	/**
	 * Returns whether a request that has just arrived should be rejected, because another
	 * instance can serve it until its end. All requests are, once callers have had time
	 * to connect to other instances.
	 * @param semantics execution semantics of the request
	 * @param expectedMillis time that the request is expected to take
	 * @return {@code true} if the request should go to another instance
	 */
	boolean shouldReject(RequestSemantics semantics, long expectedMillis) {
		return !mayStart(semantics, expectedMillis)
				|| (isStopping() && millisSinceShutdownStart() > READINESS_PROPAGATION_MILLIS);
	}

	/**
	 * Returns whether a request whose body is complete may be sent to a server. After the
	 * shutdown has started, requests that are expected to outlast the grace period are
	 * not, non-retryable streams because their duration is unknown. No request is started
	 * after the remaining ones have been ended.
	 * @param semantics execution semantics of the request
	 * @param expectedMillis time that the request is expected to take
	 * @return {@code false} if the request has to be rejected
	 */
	boolean mayStart(RequestSemantics semantics, long expectedMillis) {
		return !isStopping() || (semantics != RequestSemantics.STREAM && !this.requestsEnded
				&& expectedMillis <= millisUntilEndOfRequests());
	}

	private long millisUntilEndOfRequests() {
		return this.graceMillis - END_OF_REQUESTS_MARGIN_MILLIS - millisSinceShutdownStart();
	}

	private long millisSinceShutdownStart() {
		return this.scheduler.nowMillis() - this.shutdownStartedAtMillis;
	}

	/**
	 * Starts the shutdown.
	 * @param signalledAtMillis time at which the grace period began
	 * @param activeRequests returns the number of requests whose response is not written
	 * @param endRequests responds to the requests that are still active shortly before
	 * the end of the grace period
	 * @param exit terminates the process
	 */
	void startShutdown(long signalledAtMillis, IntSupplier activeRequests, Runnable endRequests, Runnable exit) {
		if (isStopping()) {
			return;
		}
		this.shutdownStartedAtMillis = signalledAtMillis;
		this.log.logStateChange("shutting down", Map.of("active", activeRequests.getAsInt()));
		pollShutdown(activeRequests, endRequests, exit);
	}

	private void pollShutdown(IntSupplier activeRequests, Runnable endRequests, Runnable exit) {
		long elapsedMillis = millisSinceShutdownStart();
		boolean idle = elapsedMillis >= MINIMUM_DRAIN_MILLIS && activeRequests.getAsInt() == 0;
		boolean graceExpired = elapsedMillis >= this.graceMillis - EXIT_MARGIN_MILLIS;
		if (!idle && !graceExpired) {
			this.scheduler.schedule(POLL_INTERVAL_MILLIS, () -> pollShutdown(activeRequests, endRequests, exit));
		}
		if (!this.requestsEnded && (idle || millisUntilEndOfRequests() <= 0)) {
			this.requestsEnded = true;
			this.log.logStateChange("accepting no more requests",
					Map.of("active", activeRequests.getAsInt(), "millis", elapsedMillis));
			endRequests.run();
		}
		if (idle || graceExpired) {
			this.log.logStateChange("stopped", Map.of("active", activeRequests.getAsInt(), "millis", elapsedMillis));
			exit.run();
		}
	}

}
