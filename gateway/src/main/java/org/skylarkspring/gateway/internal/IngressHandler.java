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
	private static final long CONFIRMATION_WAIT_MILLIS = 300;

	/** Bytes of request bodies held at once, a quarter of the smallest heap in use. */
	private static final long MAXIMUM_BODY_BYTES_HELD = 24L * 1024 * 1024;

	private static final long RETRY_AFTER_MILLIS = 500;

	private static final int BAD_REQUEST = 400;

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int TOO_LARGE = 413;

	private static final int HEAD_TOO_LARGE = 431;

	private static final int UNAVAILABLE = 503;

	private final GatewayContext context;

	private final ConfigurationFeed configuration;

	private final CallFlow flow;

	private final CallEndings endings;

	private final Lifecycle lifecycle;

	private final CallerConnections connections;

	IngressHandler(GatewayContext context, ConfigurationFeed configuration, CallFlow flow, CallEndings endings,
			Lifecycle lifecycle, CallerConnections connections) {
		this.context = context;
		this.configuration = configuration;
		this.flow = flow;
		this.endings = endings;
		this.lifecycle = lifecycle;
		this.connections = connections;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		long arrived = this.context.time.nowMillis();
		follow(exchange);
		if (this.lifecycle.stopping()) {
			exchange.setPersistent(false);
		}
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> received(exchange, arrived));
	}

	private void follow(HttpServerExchange exchange) {
		ServerConnection connection = exchange.getConnection();
		if (this.connections.requestArrived(connection)) {
			connection.addCloseListener((closed) -> this.connections.ended(closed).ifPresent(this.endings::callerLeft));
		}
		exchange.addExchangeCompleteListener((done, next) -> {
			this.connections.answered(connection, this.context.time.nowMillis());
			next.proceed();
		});
	}

	private void received(HttpServerExchange exchange, long arrived) {
		Optional<RequestHead> head = ambiguousLength(exchange) ? Optional.empty()
				: this.context.callers.decode(exchange.getRequestHeaders());
		if (head.isEmpty()) {
			exchange.setPersistent(false);
			reject(exchange, "", BAD_REQUEST, "malformed head");
			return;
		}
		route(exchange, head.get(), arrived, true);
	}

	private static boolean ambiguousLength(HttpServerExchange exchange) {
		HeaderMap headers = exchange.getRequestHeaders();
		HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
		boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
		return lengths != null && (chunked || lengths.size() > 1);
	}

	// Decides again after a read of the store if the first look does not allow the
	// request.
	private void route(HttpServerExchange exchange, RequestHead head, long arrived, boolean mayReadAgain) {
		Optional<RoutingTable> table = this.configuration.table();
		if (table.isEmpty()) {
			refuse(exchange, head.requestId(), "no configuration yet");
			return;
		}
		Optional<RouteSpec> route = table.get().route(exchange.getHostName(), exchange.getRequestPath());
		Optional<WorkspaceSpec> workspace = head.key().flatMap(table.get()::workspace);
		boolean keyNeeded = route.isPresent() && table.get().keysRequired() && !route.get().anonymous();
		boolean denied = route.isEmpty() || (keyNeeded && workspace.isEmpty());
		boolean unconfirmed = workspace.isPresent() && !this.configuration.fresh();
		if ((denied || unconfirmed) && mayReadAgain) {
			readAgain(exchange, head, arrived);
		}
		else if (unconfirmed || (denied && !this.configuration.fresh())) {
			refuse(exchange, head.requestId(), "configuration not confirmed lately");
		}
		else if (denied) {
			reject(exchange, head.requestId(), route.isEmpty() ? NOT_FOUND : UNAUTHORIZED,
					route.isEmpty() ? "no route" : "no workspace holds the key");
		}
		else {
			admit(exchange, head, table.get(), route.get(), workspace, arrived);
		}
	}

	private void readAgain(HttpServerExchange exchange, RequestHead head, long arrived) {
		boolean[] decided = { false };
		Runnable decide = () -> {
			if (!decided[0]) {
				decided[0] = true;
				route(exchange, head, arrived, false);
			}
		};
		this.context.time.after(CONFIRMATION_WAIT_MILLIS, decide);
		this.configuration.afterNextCheck(decide);
	}

	private void admit(HttpServerExchange exchange, RequestHead head, RoutingTable table, RouteSpec route,
			Optional<WorkspaceSpec> workspace, long arrived) {
		Optional<ServiceSpec> service = table.service(route.service(ThreadLocalRandom.current().nextDouble()));
		if (service.isEmpty()) {
			refuse(exchange, head.requestId(), "service not configured");
			return;
		}
		if (this.lifecycle.refuses(route.kind())) {
			refuse(exchange, head.requestId(), "instance shuts down");
			return;
		}
		if (headBytes(exchange) > table.limits().maximumHeaderBytes()) {
			exchange.setPersistent(false);
			reject(exchange, head.requestId(), HEAD_TOO_LARGE, "head too large");
			return;
		}
		long length = exchange.getRequestContentLength();
		if (length > table.limits().maximumBodyBytes()) {
			exchange.setPersistent(false);
			reject(exchange, head.requestId(), TOO_LARGE, "body too large");
			return;
		}
		if (this.endings.bodyBytesHeld() + Math.max(0, length) > MAXIMUM_BODY_BYTES_HELD) {
			refuse(exchange, head.requestId(), "too many bodies held");
			return;
		}
		int priority = workspace.map(WorkspaceSpec::priority).orElse(OptionalInt.empty()).orElse(route.priority());
		readBody(exchange, table, (body) -> begin(new Call(exchange, head, route, service.get(),
				workspace.map(WorkspaceSpec::name), priority, body, forwarded(exchange), arrived)), head);
	}

	private void begin(Call call) {
		this.connections.serves(call.exchange.getConnection(), call);
		this.flow.begin(call);
	}

	private void readBody(HttpServerExchange exchange, RoutingTable table, Consumer<byte[]> whole, RequestHead head) {
		TimeSource.Timer timer = this.context.time.after(table.limits().idleTimeoutMillis(), () -> {
			exchange.setPersistent(false);
			reject(exchange, head.requestId(), REQUEST_TIMEOUT, "body too slow");
		});
		BodyReader.read(exchange, table.limits().maximumBodyBytes(), (body) -> {
			timer.remove();
			if (body.isEmpty()) {
				reject(exchange, head.requestId(), TOO_LARGE, "body too large");
				return;
			}
			whole.accept(body.get());
		}, () -> {
			timer.remove();
			IoUtils.safeClose(exchange.getConnection());
		});
	}

	private HeaderMap forwarded(HttpServerExchange exchange) {
		HeaderMap headers = new HeaderMap();
		for (HttpString name : exchange.getRequestHeaders().getHeaderNames()) {
			headers.putAll(name, exchange.getRequestHeaders().get(name));
		}
		Connections.withoutConnectionHeaders(headers);
		headers.remove(Headers.CONTENT_LENGTH);
		for (HttpString name : exchange.getRequestHeaders().getHeaderNames()) {
			if (this.context.callers.withheld(name)) {
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

	private void refuse(HttpServerExchange exchange, String requestId, String reason) {
		this.context.callers.encodeRetryAfter(exchange.getResponseHeaders(), RETRY_AFTER_MILLIS);
		reject(exchange, requestId, UNAVAILABLE, reason);
	}

	private void reject(HttpServerExchange exchange, String requestId, int status, String reason) {
		if (exchange.isResponseStarted()) {
			return;
		}
		this.context.metrics.outcome("", String.valueOf(status));
		this.context.log.request(requestId, "rejected",
				Map.of("status", status, "reason", reason, "path", exchange.getRequestPath(), "configuration-version",
						this.configuration.table().map(RoutingTable::version).orElse(-1L), "configuration-age-millis",
						this.configuration.ageMillis()));
		exchange.setStatusCode(status);
		exchange.endExchange();
	}

}
