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
 * Receives requests from callers: checks the head, finds route and workspace, reads the
 * body and hands the call over.
 */
final class IngressHandler implements HttpHandler {

	/** Longest time one request waits for the store to confirm the configuration. */
	private static final long CONFIGURATION_CHECK_TIMEOUT_MILLIS = 300;

	/** Bytes of request bodies held at once, a quarter of the smallest heap in use. */
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
		long arrived = this.context.scheduler.nowMillis();
		trackConnection(exchange);
		if (this.lifecycle.isStopping()) {
			exchange.setPersistent(false);
		}
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> decodeAndRoute(exchange, arrived));
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

	private void decodeAndRoute(HttpServerExchange exchange, long arrived) {
		Optional<RequestHead> head = hasAmbiguousLength(exchange) ? Optional.empty()
				: this.context.callerProtocol.decodeRequestHeaders(exchange.getRequestHeaders());
		if (head.isEmpty()) {
			exchange.setPersistent(false);
			reject(exchange, "", BAD_REQUEST, "malformed head");
			return;
		}
		routeRequest(exchange, head.get(), arrived, true);
	}

	private static boolean hasAmbiguousLength(HttpServerExchange exchange) {
		HeaderMap headers = exchange.getRequestHeaders();
		HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
		boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
		return lengths != null && (chunked || lengths.size() > 1);
	}

	// Decides again after a read of the store if the first look does not allow the
	// request.
	private void routeRequest(HttpServerExchange exchange, RequestHead head, long arrived, boolean mayReadAgain) {
		Optional<RoutingTable> table = this.configuration.routingTable();
		if (table.isEmpty()) {
			rejectWithRetryAfter(exchange, head.requestId(), "no configuration yet");
			return;
		}
		Optional<RouteSpec> route = table.get().findRoute(exchange.getHostName(), exchange.getRequestPath());
		Optional<WorkspaceSpec> workspace = head.apiKey().flatMap(table.get()::findWorkspaceByApiKey);
		boolean keyNeeded = route.isPresent() && table.get().isApiKeyRequired() && !route.get().anonymousAllowed();
		boolean denied = route.isEmpty() || (keyNeeded && workspace.isEmpty());
		boolean unconfirmed = workspace.isPresent() && !this.configuration.isFresh();
		if ((denied || unconfirmed) && mayReadAgain) {
			rerouteAfterConfigurationCheck(exchange, head, arrived);
		}
		else if (unconfirmed || (denied && !this.configuration.isFresh())) {
			rejectWithRetryAfter(exchange, head.requestId(), "configuration not confirmed lately");
		}
		else if (denied) {
			reject(exchange, head.requestId(), route.isEmpty() ? NOT_FOUND : UNAUTHORIZED,
					route.isEmpty() ? "no route" : "no workspace holds the key");
		}
		else {
			admit(exchange, head, table.get(), route.get(), workspace, arrived);
		}
	}

	private void rerouteAfterConfigurationCheck(HttpServerExchange exchange, RequestHead head, long arrived) {
		boolean[] decided = { false };
		Runnable decide = () -> {
			if (!decided[0]) {
				decided[0] = true;
				routeRequest(exchange, head, arrived, false);
			}
		};
		this.context.scheduler.schedule(CONFIGURATION_CHECK_TIMEOUT_MILLIS, decide);
		this.configuration.runAfterStoreCheck(decide);
	}

	private void admit(HttpServerExchange exchange, RequestHead head, RoutingTable table, RouteSpec route,
			Optional<WorkspaceSpec> workspace, long arrived) {
		Optional<ServiceSpec> service = table
			.findService(route.selectService(ThreadLocalRandom.current().nextDouble()));
		if (service.isEmpty()) {
			rejectWithRetryAfter(exchange, head.requestId(), "service not configured");
			return;
		}
		if (this.lifecycle.shouldReject(route.semantics())) {
			rejectWithRetryAfter(exchange, head.requestId(), "instance shuts down");
			return;
		}
		if (headBytes(exchange) > table.callerLimits().maximumHeaderBytes()) {
			exchange.setPersistent(false);
			reject(exchange, head.requestId(), REQUEST_HEADER_FIELDS_TOO_LARGE, "head too large");
			return;
		}
		long length = exchange.getRequestContentLength();
		if (length > table.callerLimits().maximumBodyBytes()) {
			exchange.setPersistent(false);
			reject(exchange, head.requestId(), CONTENT_TOO_LARGE, "body too large");
			return;
		}
		if (this.activeRequests.bufferedBodyBytes() + Math.max(0, length) > MAXIMUM_BUFFERED_BODY_BYTES) {
			rejectWithRetryAfter(exchange, head.requestId(), "too many bodies held");
			return;
		}
		int priority = workspace.map(WorkspaceSpec::priority).orElse(OptionalInt.empty()).orElse(route.priority());
		readBody(exchange, table,
				(body) -> startRequest(new ActiveRequest(exchange, head, route, service.get(),
						workspace.map(WorkspaceSpec::name), priority, body, forwardedHeaders(exchange), arrived)),
				head);
	}

	private void startRequest(ActiveRequest call) {
		this.connections.assignRequest(call.exchange.getConnection(), call);
		this.dispatcher.start(call);
	}

	private void readBody(HttpServerExchange exchange, RoutingTable table, Consumer<byte[]> whole, RequestHead head) {
		Scheduler.Timer timer = this.context.scheduler.schedule(table.callerLimits().idleTimeoutMillis(), () -> {
			exchange.setPersistent(false);
			reject(exchange, head.requestId(), REQUEST_TIMEOUT, "body too slow");
		});
		RequestBodyReader.read(exchange, table.callerLimits().maximumBodyBytes(), (body) -> {
			timer.cancel();
			if (body.isEmpty()) {
				reject(exchange, head.requestId(), CONTENT_TOO_LARGE, "body too large");
				return;
			}
			whole.accept(body.get());
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
