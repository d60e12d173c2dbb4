package org.skylarkspring.gateway.internal;

import java.util.Map;

import io.undertow.server.HttpServerExchange;

import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.pressure.BufferedBytes;

/**
 * Answers requests that are not dispatched to a server.
 */
final class RequestRejector {

	private static final long RETRY_AFTER_MILLIS = 500;

	private static final int SERVICE_UNAVAILABLE = 503;

	/**
	 * Maximum size of a body that is read before the response, so that the connection can
	 * be reused.
	 */
	private static final long MAXIMUM_DISCARDED_BODY_BYTES = 256 * 1024;

	/** Maximum time for reading such a body. */
	private static final long DISCARD_TIMEOUT_MILLIS = 1_000;

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final CallerBodies bodies;

	private final RequestBodyReader.Limits discardLimits;

	RequestRejector(GatewayContext context, ConfigurationPoller configuration, CallerBodies bodies,
			BufferedBytes memory) {
		this.context = context;
		this.configuration = configuration;
		this.bodies = bodies;
		this.discardLimits = new RequestBodyReader.Limits(MAXIMUM_DISCARDED_BODY_BYTES, DISCARD_TIMEOUT_MILLIS, memory);
	}

	/**
	 * Rejects a request that the caller may send again after a while.
	 * @param exchange the exchange
	 * @param requestId id of the request, empty if unknown
	 * @param reason reason to log
	 */
	void rejectWithRetryAfter(HttpServerExchange exchange, String requestId, String reason) {
		this.context.callerProtocol.encodeRetryAfter(exchange.getResponseHeaders(), RETRY_AFTER_MILLIS);
		reject(exchange, requestId, SERVICE_UNAVAILABLE, reason);
	}

	/**
	 * Rejects a request. A body that has not been read yet is read first, within limits,
	 * so that the connection stays usable.
	 * @param exchange the exchange
	 * @param requestId id of the request, empty if unknown
	 * @param status status code of the response
	 * @param reason reason to log
	 */
	void reject(HttpServerExchange exchange, String requestId, int status, String reason) {
		if (exchange.isResponseStarted()) {
			return;
		}
		record(exchange, requestId, status, reason);
		exchange.setStatusCode(status);
		if (exchange.isRequestComplete()) {
			exchange.endExchange();
		}
		else if (exchange.getRequestContentLength() > MAXIMUM_DISCARDED_BODY_BYTES) {
			LingeringClose.respondAndClose(exchange, status, this.context.scheduler);
		}
		else {
			readBodyAndRespond(exchange, status);
		}
	}

	/**
	 * Rejects a request whose body cannot be read completely, and closes the connection.
	 * @param exchange the exchange
	 * @param requestId id of the request
	 * @param status status code of the response
	 * @param reason reason to log
	 */
	void rejectAndClose(HttpServerExchange exchange, String requestId, int status, String reason) {
		if (!exchange.isResponseStarted()) {
			record(exchange, requestId, status, reason);
			LingeringClose.respondAndClose(exchange, status, this.context.scheduler);
		}
	}

	/**
	 * Rejects a request whose body cannot be read completely, and closes the connection.
	 * The caller may send the request again after a while.
	 * @param exchange the exchange
	 * @param requestId id of the request
	 * @param reason reason to log
	 */
	void rejectWithRetryAfterAndClose(HttpServerExchange exchange, String requestId, String reason) {
		this.context.callerProtocol.encodeRetryAfter(exchange.getResponseHeaders(), RETRY_AFTER_MILLIS);
		rejectAndClose(exchange, requestId, SERVICE_UNAVAILABLE, reason);
	}

	private void readBodyAndRespond(HttpServerExchange exchange, int status) {
		this.bodies.read(exchange, this.discardLimits, (body) -> {
			if (body instanceof RequestBody.Complete complete) {
				this.discardLimits.memory().release(complete.bytes().length);
				exchange.endExchange();
			}
			else {
				LingeringClose.respondAndClose(exchange, status, this.context.scheduler);
			}
		});
	}

	private void record(HttpServerExchange exchange, String requestId, int status, String reason) {
		this.context.metrics.recordOutcome("", String.valueOf(status));
		this.context.log.logRequest(requestId, "rejected",
				Map.of("status", status, "reason", reason, "path", exchange.getRequestPath(), "configuration-version",
						this.configuration.routingTable().map(RoutingTable::version).orElse(-1L),
						"configuration-age-millis", this.configuration.ageMillis()));
	}

}
