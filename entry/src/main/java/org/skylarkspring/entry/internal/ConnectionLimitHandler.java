package org.skylarkspring.entry.internal;

import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

import org.skylarkspring.core.model.ErrorCode;

/**
 * Limits the number of open connections: rejects requests on connections above the
 * maximum and closes those connections.
 */
final class ConnectionLimitHandler implements HttpHandler {

	private static final AttachmentKey<Boolean> COUNTED_CONNECTION = AttachmentKey.create(Boolean.class);

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final HttpHandler next;

	private final int maximumConnections;

	private final AtomicInteger openConnections = new AtomicInteger();

	ConnectionLimitHandler(HttpHandler next, int maximumConnections) {
		this.next = next;
		this.maximumConnections = maximumConnections;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) throws Exception {
		if (tryCountConnection(exchange.getConnection())) {
			this.next.handleRequest(exchange);
			return;
		}
		exchange.setPersistent(false);
		ProblemDetails.notRun(ErrorCode.OVERLOADED, RETRY_AFTER_MILLIS).send(exchange);
	}

	private boolean tryCountConnection(ServerConnection connection) {
		if (connection.getAttachment(COUNTED_CONNECTION) != null) {
			return true;
		}
		if (this.openConnections.incrementAndGet() > this.maximumConnections) {
			this.openConnections.decrementAndGet();
			return false;
		}
		connection.putAttachment(COUNTED_CONNECTION, true);
		connection.addCloseListener((closed) -> this.openConnections.decrementAndGet());
		return true;
	}

}
