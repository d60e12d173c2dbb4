package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;

import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.model.WorkspaceSpec;

/**
 * Receives requests from callers: validates the head, determines route and workspace,
 * reads the body and passes the request to the dispatcher.
 */
final class IngressHandler implements HttpHandler {

	/** Maximum time that a request waits for the store to confirm the configuration. */
	private static final long CONFIGURATION_CHECK_TIMEOUT_MILLIS = 300;

	/**
	 * Maximum total size of buffered request bodies, a quarter of the smallest heap in
	 * use.
	 */
	private static final long MAXIMUM_BUFFERED_BODY_BYTES = 24L * 1024 * 1024;

	private static final long RETRY_AFTER_MILLIS = 500;

	private static final int BAD_REQUEST = 400;

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int REQUEST_HEADER_FIELDS_TOO_LARGE = 431;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final RequestDispatcher dispatcher;

	private final ActiveRequestRegistry activeRequests;

	private final Lifecycle lifecycle;

	private final CallerConnectionTracker connections;

	IngressHandler(GatewayContext context, ConfigurationPoller configuration, RequestDispatcher dispatcher,
			ActiveRequestRegistry activeRequests, Lifecycle lifecycle, CallerConnectionTracker connections) {
		this.context = context;
		this.configuration = configuration;
		this.dispatcher = dispatcher;
		this.activeRequests = activeRequests;
		this.lifecycle = lifecycle;
		this.connections = connections;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		long arrivedMillis = this.context.scheduler.nowMillis();
		trackConnection(exchange);
		if (this.lifecycle.isStopping()) {
			exchange.setPersistent(false);
		}
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> decodeAndRoute(exchange, arrivedMillis));
	}

	private void trackConnection(HttpServerExchange exchange) {
		ServerConnection connection = exchange.getConnection();
		if (this.connections.onRequestArrived(connection)) {
			connection.addCloseListener(
					(closed) -> this.connections.remove(closed).ifPresent(this.activeRequests::onCallerDisconnected));
		}
		exchange.addExchangeCompleteListener((done, next) -> {
			this.connections.markIdle(connection, this.context.scheduler.nowMillis());
			next.proceed();
		});
	}

	private void decodeAndRoute(HttpServerExchange exchange, long arrivedMillis) {
		Optional<RequestHead> head = hasAmbiguousLength(exchange) ? Optional.empty()
				: this.context.callerProtocol.decodeRequestHeaders(exchange.getRequestHeaders());
		if (head.isEmpty()) {
			exchange.setPersistent(false);
			reject(exchange, "", BAD_REQUEST, "malformed request head");
			return;
		}
		routeRequest(exchange, head.get(), arrivedMillis, true);
	}

	private static boolean hasAmbiguousLength(HttpServerExchange exchange) {
		HeaderMap headers = exchange.getRequestHeaders();
		HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
		boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
		return lengths != null && (chunked || lengths.size() > 1);
	}

	// If the request is not allowed or cannot be verified with the cached configuration,
	// routes it again after reading the configuration from the store.
	private void routeRequest(HttpServerExchange exchange, RequestHead head, long arrivedMillis, boolean mayRecheck) {
		Optional<RoutingTable> table = this.configuration.routingTable();
		if (table.isEmpty()) {
			rejectWithRetryAfter(exchange, head.requestId(), "no configuration received yet");
			return;
		}
		Optional<RouteSpec> route = table.get().findRoute(exchange.getHostName(), exchange.getRequestPath());
		Optional<WorkspaceSpec> workspace = head.apiKey().flatMap(table.get()::findWorkspaceByApiKey);
		boolean keyRequired = route.isPresent() && table.get().isApiKeyRequired() && !route.get().anonymousAllowed();
		boolean denied = route.isEmpty() || (keyRequired && workspace.isEmpty());
		boolean keyUnverified = workspace.isPresent() && !this.configuration.isFresh();
		if ((denied || keyUnverified) && mayRecheck) {
			rerouteAfterConfigurationCheck(exchange, head, arrivedMillis);
		}
		else if (keyUnverified || (denied && !this.configuration.isFresh())) {
			rejectWithRetryAfter(exchange, head.requestId(), "configuration is stale");
		}
		else if (denied) {
			reject(exchange, head.requestId(), route.isEmpty() ? NOT_FOUND : UNAUTHORIZED,
					route.isEmpty() ? "no matching route" : "API key missing or unknown");
		}
		else {
			admit(exchange, head, table.get(), route.get(), workspace, arrivedMillis);
		}
	}

	private void rerouteAfterConfigurationCheck(HttpServerExchange exchange, RequestHead head, long arrivedMillis) {
		boolean[] rerouted = { false };
		Runnable reroute = () -> {
			if (!rerouted[0]) {
				rerouted[0] = true;
				routeRequest(exchange, head, arrivedMillis, false);
			}
		};
		this.context.scheduler.schedule(CONFIGURATION_CHECK_TIMEOUT_MILLIS, reroute);
		this.configuration.runAfterStoreCheck(reroute);
	}

	private void admit(HttpServerExchange exchange, RequestHead head, RoutingTable table, RouteSpec route,
			Optional<WorkspaceSpec> workspace, long arrivedMillis) {
		Optional<ServiceSpec> service = table
			.findService(route.selectService(ThreadLocalRandom.current().nextDouble()));
		if (service.isEmpty()) {
			rejectWithRetryAfter(exchange, head.requestId(), "service not configured");
			return;
		}
		if (this.lifecycle.shouldReject(route.semantics())) {
			rejectWithRetryAfter(exchange, head.requestId(), "instance is shutting down");
			return;
		}
		if (headBytes(exchange) > table.callerLimits().maximumHeaderBytes()) {
			exchange.setPersistent(false);
			reject(exchange, head.requestId(), REQUEST_HEADER_FIELDS_TOO_LARGE,
					"request head exceeds the maximum of " + table.callerLimits().maximumHeaderBytes() + " bytes");
			return;
		}
		long length = exchange.getRequestContentLength();
		if (length > table.callerLimits().maximumBodyBytes()) {
			exchange.setPersistent(false);
			reject(exchange, head.requestId(), CONTENT_TOO_LARGE,
					"request body exceeds the maximum of " + table.callerLimits().maximumBodyBytes() + " bytes");
			return;
		}
		if (this.activeRequests.bufferedBodyBytes() + Math.max(0, length) > MAXIMUM_BUFFERED_BODY_BYTES) {
			rejectWithRetryAfter(exchange, head.requestId(),
					"buffered request bodies would exceed " + MAXIMUM_BUFFERED_BODY_BYTES + " bytes");
			return;
		}
		int priority = workspace.map(WorkspaceSpec::priority).orElse(OptionalInt.empty()).orElse(route.priority());
		readBody(exchange, table,
				(body) -> startRequest(new ActiveRequest(exchange, head, route, service.get(),
						workspace.map(WorkspaceSpec::name), priority, body, forwardedHeaders(exchange), arrivedMillis)),
				head);
	}

	private void startRequest(ActiveRequest request) {
		this.connections.assignRequest(request.exchange.getConnection(), request);
		this.dispatcher.start(request);
	}

	private void readBody(HttpServerExchange exchange, RoutingTable table, Consumer<byte[]> onBodyComplete,
			RequestHead head) {
		Scheduler.Timer timer = this.context.scheduler.schedule(table.callerLimits().idleTimeoutMillis(), () -> {
			exchange.setPersistent(false);
			reject(exchange, head.requestId(), REQUEST_TIMEOUT,
					"request body not received within " + table.callerLimits().idleTimeoutMillis() + " ms");
		});
		RequestBodyReader.read(exchange, table.callerLimits().maximumBodyBytes(), (body) -> {
			timer.cancel();
			if (body.isEmpty()) {
				reject(exchange, head.requestId(), CONTENT_TOO_LARGE,
						"request body exceeds the maximum of " + table.callerLimits().maximumBodyBytes() + " bytes");
				return;
			}
			onBodyComplete.accept(body.get());
		}, () -> {
			timer.cancel();
			IoUtils.safeClose(exchange.getConnection());
		});
	}

	private HeaderMap forwardedHeaders(HttpServerExchange exchange) {
		HeaderMap headers = new HeaderMap();
		for (HttpString name : exchange.getRequestHeaders().getHeaderNames()) {
			headers.putAll(name, exchange.getRequestHeaders().get(name));
		}
		HopByHopHeaders.removeFrom(headers);
		headers.remove(Headers.CONTENT_LENGTH);
		for (HttpString name : exchange.getRequestHeaders().getHeaderNames()) {
			if (this.context.callerProtocol.shouldStripHeader(name)) {
				headers.remove(name);
			}
		}
		return headers;
	}

	private static long headBytes(HttpServerExchange exchange) {
		long bytes = exchange.getRequestURI().length() + exchange.getQueryString().length();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			for (String value : values) {
				bytes += values.getHeaderName().length() + value.length() + ": \r\n".length();
			}
		}
		return bytes;
	}

	private void rejectWithRetryAfter(HttpServerExchange exchange, String requestId, String reason) {
		this.context.callerProtocol.encodeRetryAfter(exchange.getResponseHeaders(), RETRY_AFTER_MILLIS);
		reject(exchange, requestId, SERVICE_UNAVAILABLE, reason);
	}

	private void reject(HttpServerExchange exchange, String requestId, int status, String reason) {
		if (exchange.isResponseStarted()) {
			return;
		}
		this.context.metrics.recordOutcome("", String.valueOf(status));
		this.context.log.logRequest(requestId, "rejected",
				Map.of("status", status, "reason", reason, "path", exchange.getRequestPath(), "configuration-version",
						this.configuration.routingTable().map(RoutingTable::version).orElse(-1L),
						"configuration-age-millis", this.configuration.ageMillis()));
		exchange.setStatusCode(status);
		exchange.endExchange();
	}

}
