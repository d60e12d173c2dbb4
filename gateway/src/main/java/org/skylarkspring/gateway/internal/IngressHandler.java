package org.skylarkspring.gateway.internal;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;

import org.skylarkspring.gateway.http.HopByHopHeaders;
import org.skylarkspring.gateway.model.CallerLimits;
import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.model.WorkspaceSpec;
import org.skylarkspring.gateway.pressure.MemoryDecision;

/**
 * Receives requests from callers: validates the head, determines route and workspace,
 * reads the body and passes the request to the dispatcher.
 */
final class IngressHandler implements HttpHandler {

	/** Maximum time that a request waits for the store to confirm the configuration. */
	private static final long CONFIGURATION_CHECK_TIMEOUT_MILLIS = 300;

	private static final String MEMORY_EXHAUSTED_REASON = "memory for request bodies is exhausted";

	private static final String SHUTTING_DOWN_REASON = "instance is shutting down";

	private static final int BAD_REQUEST = 400;

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int REQUEST_HEADER_FIELDS_TOO_LARGE = 431;

	private static final int NOT_IMPLEMENTED = 501;

	private final GatewayContext context;

	private final ConfigurationPoller configuration;

	private final RequestDispatcher dispatcher;

	private final ActiveRequestRegistry activeRequests;

	private final Lifecycle lifecycle;

	private final CallerConnectionTracker connections;

	private final CallerBodies bodies;

	private final InstanceMemory memory;

	private final RequestRejector rejector;

	IngressHandler(GatewayContext context, ConfigurationPoller configuration, RequestDispatcher dispatcher,
			ActiveRequestRegistry activeRequests, Lifecycle lifecycle, CallerConnectionTracker connections,
			CallerBodies bodies, InstanceMemory memory) {
		this.context = context;
		this.configuration = configuration;
		this.dispatcher = dispatcher;
		this.activeRequests = activeRequests;
		this.lifecycle = lifecycle;
		this.connections = connections;
		this.bodies = bodies;
		this.memory = memory;
		this.rejector = new RequestRejector(context, configuration, bodies, activeRequests.bodyMemory());
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		long arrivedMillis = this.context.scheduler.nowMillis();
		trackConnection(exchange);
		exchange.addResponseCommitListener(this::closeConnectionIfStopping);
		// The exchange ends when a handler returns without a dispatch, hence the second
		// one.
		exchange.dispatch(this.context.requestStarter,
				(HttpHandler) (started) -> started.dispatch(SameThreadExecutor.INSTANCE,
						() -> rejectOnException(started, "", () -> decodeAndRoute(started, arrivedMillis))));
	}

	// The I/O thread only logs an exception, so that the caller would wait in vain.
	private void rejectOnException(HttpServerExchange exchange, String requestId, Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.context.log.logException(requestId, "exception while reading a request", ex);
			rejectAfterException(exchange, requestId, String.valueOf(ex));
		}
	}

	private void rejectAfterException(HttpServerExchange exchange, String requestId, String reason) {
		if (exchange.isResponseStarted()) {
			IoUtils.safeClose(exchange.getConnection());
		}
		else if (exchange.isRequestComplete()) {
			this.rejector.rejectWithRetryAfter(exchange, requestId, reason);
		}
		else {
			this.rejector.rejectWithRetryAfterAndClose(exchange, requestId, reason);
		}
	}

	private void trackConnection(HttpServerExchange exchange) {
		ServerConnection connection = exchange.getConnection();
		RequestLineConduit.of(exchange).onRequestArrived();
		if (this.connections.onRequestArrived(connection)) {
			connection.addCloseListener(
					(closed) -> this.connections.remove(closed).ifPresent(this.activeRequests::onCallerDisconnected));
		}
		exchange.addExchangeCompleteListener((done, next) -> {
			this.connections.markIdle(connection, this.context.scheduler.nowMillis());
			RequestLineConduit.of(done).expectRequestAfter(done);
			next.proceed();
		});
	}

	private void closeConnectionIfStopping(HttpServerExchange exchange) {
		if (this.lifecycle.isStopping()) {
			exchange.setPersistent(false);
		}
	}

	private void decodeAndRoute(HttpServerExchange exchange, long arrivedMillis) {
		if (hasUnknownTransferEncoding(exchange)) {
			rejectUnknownTransferEncoding(exchange);
			return;
		}
		Optional<RequestHead> head = hasAmbiguousLength(exchange) ? Optional.empty()
				: this.context.callerProtocol.decodeRequestHeaders(exchange.getRequestHeaders());
		if (head.isEmpty()) {
			exchange.setPersistent(false);
			this.rejector.reject(exchange, "", BAD_REQUEST, "malformed request head");
			return;
		}
		routeRequest(exchange, head.get(), arrivedMillis, true);
	}

	private static boolean hasUnknownTransferEncoding(HttpServerExchange exchange) {
		HeaderValues encodings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
		return encodings != null
				&& (encodings.size() > 1 || !encodings.getFirst().trim().equalsIgnoreCase(Headers.CHUNKED.toString()));
	}

	// The end of the request is unknown, so no other one can follow on the connection.
	private void rejectUnknownTransferEncoding(HttpServerExchange exchange) {
		String reason = "transfer encoding other than chunked";
		if (exchange.isRequestComplete()) {
			exchange.setPersistent(false);
			this.rejector.reject(exchange, "", NOT_IMPLEMENTED, reason);
		}
		else {
			this.rejector.rejectAndClose(exchange, "", NOT_IMPLEMENTED, reason);
		}
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
			this.rejector.rejectWithRetryAfter(exchange, head.requestId(), "no configuration received yet");
			return;
		}
		Optional<RouteSpec> route = table.get().findRoute(exchange.getHostName(), exchange.getRequestPath());
		Optional<WorkspaceSpec> workspace = head.apiKey().flatMap(table.get()::findWorkspaceByApiKey);
		boolean denied = route.isEmpty()
				|| (workspace.isEmpty() && isWorkspaceRequired(table.get(), route.get(), head));
		boolean keyUnverified = workspace.isPresent() && !this.configuration.isFresh();
		boolean outdated = denied && !this.configuration.isRecent();
		if ((outdated || keyUnverified) && mayRecheck) {
			rerouteAfterConfigurationCheck(exchange, head, arrivedMillis);
		}
		else if (keyUnverified || (denied && !this.configuration.isFresh())) {
			this.rejector.rejectWithRetryAfter(exchange, head.requestId(), "configuration is stale");
		}
		else if (denied) {
			this.rejector.reject(exchange, head.requestId(), route.isEmpty() ? NOT_FOUND : UNAUTHORIZED,
					route.isEmpty() ? "no matching route" : "API key missing or unknown");
		}
		else {
			admit(exchange, head, table.get(), route.get(), workspace, arrivedMillis);
		}
	}

	// A route for anonymous requests accepts requests without a key, not unknown keys.
	private static boolean isWorkspaceRequired(RoutingTable table, RouteSpec route, RequestHead head) {
		return table.isApiKeyRequired() && (!route.anonymousAllowed() || head.apiKey().isPresent());
	}

	private void rerouteAfterConfigurationCheck(HttpServerExchange exchange, RequestHead head, long arrivedMillis) {
		boolean[] rerouted = { false };
		Runnable reroute = () -> {
			if (!rerouted[0]) {
				rerouted[0] = true;
				rejectOnException(exchange, head.requestId(), () -> routeRequest(exchange, head, arrivedMillis, false));
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
			this.rejector.rejectWithRetryAfter(exchange, head.requestId(), "service not configured");
			return;
		}
		LongSupplier expectedMillis = () -> expectedMillis(head, route, service.get(), arrivedMillis);
		if (this.lifecycle.shouldReject(route.semantics(), expectedMillis.getAsLong())) {
			this.rejector.rejectWithRetryAfter(exchange, head.requestId(), SHUTTING_DOWN_REASON);
			return;
		}
		if (this.memory.decision() instanceof MemoryDecision.Shed shed) {
			this.context.metrics.recordDecision("request turned away for lack of memory");
			this.rejector.rejectWithRetryAfter(exchange, head.requestId(), shed.toString());
			return;
		}
		CallerLimits limits = table.callerLimits();
		if (headBytes(exchange) > limits.maximumHeaderBytes()) {
			exchange.setPersistent(false);
			this.rejector.reject(exchange, head.requestId(), REQUEST_HEADER_FIELDS_TOO_LARGE,
					"request head exceeds the maximum of " + limits.maximumHeaderBytes() + " bytes");
			return;
		}
		long length = exchange.getRequestContentLength();
		if (length > limits.maximumBodyBytes()) {
			this.rejector.rejectAndClose(exchange, head.requestId(), CONTENT_TOO_LARGE,
					"request body exceeds the maximum of " + limits.maximumBodyBytes() + " bytes");
			return;
		}
		if (!this.activeRequests.bodyMemory().hasRoomFor(Math.max(0, length))) {
			this.rejector.rejectWithRetryAfter(exchange, head.requestId(), MEMORY_EXHAUSTED_REASON);
			return;
		}
		Function<byte[], ActiveRequest> toRequest = (bytes) -> createRequest(exchange, head, route, service.get(),
				bytes, arrivedMillis);
		BooleanSupplier mayStart = () -> this.lifecycle.mayStart(route.semantics(), expectedMillis.getAsLong());
		this.bodies.read(exchange,
				new RequestBodyReader.Limits(limits.maximumBodyBytes(), limits.idleTimeoutMillis(),
						this.activeRequests.bodyMemory()),
				(body) -> rejectOnException(exchange, head.requestId(),
						() -> onBodyRead(exchange, head, workspace.isPresent(), mayStart, limits, body, toRequest)));
	}

	private Optional<WorkspaceSpec> findWorkspace(RequestHead head) {
		return this.configuration.routingTable()
			.flatMap((table) -> head.apiKey().flatMap(table::findWorkspaceByApiKey));
	}

	private boolean isKeyRequired() {
		return this.configuration.routingTable().map(RoutingTable::isApiKeyRequired).orElse(true);
	}

	// The key may have changed hands while the body arrived.
	private ActiveRequest createRequest(HttpServerExchange exchange, RequestHead head, RouteSpec route,
			ServiceSpec service, byte[] body, long arrivedMillis) {
		Optional<WorkspaceSpec> workspace = findWorkspace(head);
		int priority = workspace.map(WorkspaceSpec::priority).orElse(OptionalInt.empty()).orElse(route.priority());
		return new ActiveRequest(exchange, head, route, service, workspace.map(WorkspaceSpec::name), priority, body,
				new ForwardedHead(RequestLineConduit.of(exchange).pathAndQuery(exchange), forwardedHeaders(exchange)),
				arrivedMillis);
	}

	// A request ends at its deadline, however long its service usually takes.
	private long expectedMillis(RequestHead head, RouteSpec route, ServiceSpec service, long arrivedMillis) {
		long timeoutMillis = Math.min(route.timeoutMillis(), head.deadlineMillis().orElse(Long.MAX_VALUE));
		long waitedMillis = this.context.scheduler.nowMillis() - arrivedMillis;
		return Math.min(this.dispatcher.usualResponseMillis(route, service), timeoutMillis - waitedMillis);
	}

	private void startRequest(byte[] body, Function<byte[], ActiveRequest> toRequest) {
		ActiveRequest request = createOrRelease(body, toRequest);
		// An empty line after the body must not hide that the caller disconnects.
		RequestLineConduit.of(request.exchange).expectRequestAfter(request.exchange);
		this.connections.assignRequest(request.exchange.getConnection(), request);
		this.dispatcher.start(request);
	}

	private ActiveRequest createOrRelease(byte[] body, Function<byte[], ActiveRequest> toRequest) {
		try {
			return toRequest.apply(body);
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.activeRequests.bodyMemory().release(body.length);
			throw ex;
		}
	}

	private void onBodyRead(HttpServerExchange exchange, RequestHead head, boolean authenticated,
			BooleanSupplier mayStart, CallerLimits limits, RequestBody body,
			Function<byte[], ActiveRequest> toRequest) {
		if (body instanceof RequestBody.Complete complete) {
			onBodyComplete(exchange, head, authenticated, mayStart, complete.bytes(), toRequest);
		}
		else if (body instanceof RequestBody.TooLarge) {
			this.rejector.rejectAndClose(exchange, head.requestId(), CONTENT_TOO_LARGE,
					"request body exceeds the maximum of " + limits.maximumBodyBytes() + " bytes");
		}
		else if (body instanceof RequestBody.TimedOut) {
			this.rejector.rejectAndClose(exchange, head.requestId(), REQUEST_TIMEOUT,
					"request body not received within " + limits.idleTimeoutMillis() + " ms");
		}
		else if (body instanceof RequestBody.MemoryExhausted) {
			this.rejector.rejectWithRetryAfterAndClose(exchange, head.requestId(), MEMORY_EXHAUSTED_REASON);
		}
		else if (body instanceof RequestBody.Interrupted) {
			this.rejector.rejectWithRetryAfterAndClose(exchange, head.requestId(), SHUTTING_DOWN_REASON);
		}
		else {
			IoUtils.safeClose(exchange.getConnection());
		}
	}

	private void onBodyComplete(HttpServerExchange exchange, RequestHead head, boolean authenticated,
			BooleanSupplier mayStart, byte[] body, Function<byte[], ActiveRequest> toRequest) {
		if (authenticated && isKeyRequired() && findWorkspace(head).isEmpty()) {
			this.activeRequests.bodyMemory().release(body.length);
			this.rejector.reject(exchange, head.requestId(), UNAUTHORIZED, "API key was taken away");
		}
		else if (!mayStart.getAsBoolean()) {
			this.activeRequests.bodyMemory().release(body.length);
			this.rejector.rejectWithRetryAfter(exchange, head.requestId(), SHUTTING_DOWN_REASON);
		}
		else {
			startRequest(body, toRequest);
		}
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

}
