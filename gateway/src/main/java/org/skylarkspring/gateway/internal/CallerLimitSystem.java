package org.skylarkspring.gateway.internal;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import org.xnio.OptionMap;

import org.skylarkspring.gateway.model.CallerLimits;
import org.skylarkspring.gateway.model.RoutingTable;

/**
 * Holds callers to the times that the configuration in force allows: for a request head,
 * and for a connection without a request.
 */
final class CallerLimitSystem {

	/** Heads above this size are not read; the configuration's bound is below. */
	private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

	/** In force until the first configuration is known. */
	private static final int FIRST_HEAD_TIMEOUT_MILLIS = 5_000;

	/** A connection that never brought a request is closed after this time. */
	private static final int UNUSED_CONNECTION_MILLIS = 120_000;

	private static final OptionMap OPTIONS = OptionMap.builder()
		.set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
		.set(UndertowOptions.ALWAYS_SET_DATE, false)
		.set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
		.set(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEAD_BYTES)
		.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, FIRST_HEAD_TIMEOUT_MILLIS)
		.set(UndertowOptions.NO_REQUEST_TIMEOUT, UNUSED_CONNECTION_MILLIS)
		.set(UndertowOptions.DECODE_URL, false)
		.set(UndertowOptions.ENABLE_HTTP2, false)
		.getMap();

	private final GatewayContext context;

	private final ConfigurationFeed configuration;

	private final CallerConnections connections;

	private final Undertow.ListenerInfo listener;

	private long headTimeoutMillis = FIRST_HEAD_TIMEOUT_MILLIS;

	CallerLimitSystem(GatewayContext context, ConfigurationFeed configuration, CallerConnections connections,
			Undertow.ListenerInfo listener) {
		this.context = context;
		this.configuration = configuration;
		this.connections = connections;
		this.listener = listener;
	}

	/**
	 * Sets the options that all listeners start with.
	 * @param builder builder of the listeners
	 * @return the builder
	 */
	static Undertow.Builder withOptions(Undertow.Builder builder) {
		OPTIONS.forEach((option) -> setOption(builder, option));
		return builder;
	}

	private static <T> void setOption(Undertow.Builder builder, org.xnio.Option<T> option) {
		builder.setServerOption(option, OPTIONS.get(option));
	}

	/**
	 * Applies the limits in force.
	 * @param nowMillis current time
	 */
	void tick(long nowMillis) {
		this.configuration.table().map(RoutingTable::limits).ifPresent((limits) -> apply(limits, nowMillis));
	}

	private void apply(CallerLimits limits, long nowMillis) {
		if (limits.headerTimeoutMillis() != this.headTimeoutMillis) {
			this.headTimeoutMillis = limits.headerTimeoutMillis();
			// Connections made from now on are held to it.
			this.listener.setServerOptions(OptionMap.builder()
				.addAll(OPTIONS)
				.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, Math.toIntExact(this.headTimeoutMillis))
				.getMap());
		}
		int closed = this.connections.closeIdle(nowMillis, limits.idleTimeoutMillis());
		if (closed > 0) {
			this.context.metrics.decisions("idle connection closed", closed);
		}
	}

}
