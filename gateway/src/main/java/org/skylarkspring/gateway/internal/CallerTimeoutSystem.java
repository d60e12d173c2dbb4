package org.skylarkspring.gateway.internal;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import org.xnio.OptionMap;

import org.skylarkspring.gateway.model.CallerLimits;
import org.skylarkspring.gateway.model.RoutingTable;

/**
 * Enforces the timeouts of the current configuration on caller connections: the time to
 * receive a request head, and the idle time of a connection.
 */
final class CallerTimeoutSystem {

	/**
	 * Maximum size of a request head accepted by the HTTP server. The limit in the
	 * configuration takes effect only if it is lower.
	 */
	private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

	/**
	 * Size of the smallest header with a line break, and of the smallest parameter with a
	 * separator. The size of a head thus also limits their number.
	 */
	private static final int MINIMUM_HEADER_BYTES = 4;

	private static final int MINIMUM_PARAMETER_BYTES = 2;

	/**
	 * Maximum size of a body accepted by the HTTP server, which then closes the
	 * connection without a response. More than the memory for all bodies, so that the
	 * limits of the configuration and of the memory take effect first.
	 */
	private static final long MAXIMUM_BODY_BYTES = 64L * 1024 * 1024;

	/** Applies until the first configuration has been received. */
	private static final int DEFAULT_HEAD_TIMEOUT_MILLIS = 5_000;

	/** Time after which a connection that never received a request is closed. */
	private static final int UNUSED_CONNECTION_TIMEOUT_MILLIS = 120_000;

	private static final OptionMap LISTENER_OPTIONS = OptionMap.builder()
		.set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
		.set(UndertowOptions.ALWAYS_SET_DATE, false)
		.set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
		.set(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEAD_BYTES)
		.set(UndertowOptions.MAX_HEADERS, MAXIMUM_HEAD_BYTES / MINIMUM_HEADER_BYTES)
		.set(UndertowOptions.MAX_PARAMETERS, MAXIMUM_HEAD_BYTES / MINIMUM_PARAMETER_BYTES)
		.set(UndertowOptions.MAX_ENTITY_SIZE, MAXIMUM_BODY_BYTES)
		.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, DEFAULT_HEAD_TIMEOUT_MILLIS)
		.set(UndertowOptions.NO_REQUEST_TIMEOUT, UNUSED_CONNECTION_TIMEOUT_MILLIS)
		.set(UndertowOptions.DECODE_URL, false)
		.set(UndertowOptions.ENABLE_HTTP2, false)
		.getMap();

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final CallerConnectionTracker connections;

	private final CallerListener listener;

	private long headTimeoutMillis = DEFAULT_HEAD_TIMEOUT_MILLIS;

	CallerTimeoutSystem(GatewayContext context, ConfigurationPoller configuration, CallerConnectionTracker connections,
			CallerListener listener) {
		this.context = context;
		this.configuration = configuration;
		this.connections = connections;
		this.listener = listener;
	}

	/**
	 * Returns the initial options of the listener for callers.
	 * @return options of the HTTP server
	 */
	static OptionMap listenerOptions() {
		return LISTENER_OPTIONS;
	}

	/**
	 * Sets the initial options of the other listeners.
	 * @param builder the server builder
	 * @return the builder
	 */
	static Undertow.Builder configureListeners(Undertow.Builder builder) {
		LISTENER_OPTIONS.forEach((option) -> setOption(builder, option));
		return builder;
	}

	private static <T> void setOption(Undertow.Builder builder, org.xnio.Option<T> option) {
		builder.setServerOption(option, LISTENER_OPTIONS.get(option));
	}

	/**
	 * Applies the limits of the current configuration and closes connections whose idle
	 * timeout has expired.
	 * @param nowMillis current time
	 */
	void tick(long nowMillis) {
		this.configuration.routingTable()
			.map(RoutingTable::callerLimits)
			.ifPresent((limits) -> applyLimits(limits, nowMillis));
	}

	private void applyLimits(CallerLimits limits, long nowMillis) {
		if (limits.headerTimeoutMillis() != this.headTimeoutMillis) {
			this.headTimeoutMillis = limits.headerTimeoutMillis();
			// The new timeout applies to connections that are accepted from now on.
			this.listener.setServerOptions(OptionMap.builder()
				.addAll(LISTENER_OPTIONS)
				.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) Math.min(Integer.MAX_VALUE, this.headTimeoutMillis))
				.getMap());
		}
		int closed = this.connections.closeIdleConnections(nowMillis, limits.idleTimeoutMillis());
		if (closed > 0) {
			this.context.metrics.recordDecisions("idle connection closed", closed);
		}
	}

}
