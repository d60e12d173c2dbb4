package org.skylarkspring.entry.internal;

import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

import org.skylarkspring.core.model.ErrorCode;

/**
 * Refuses requests on connections above a maximum number and closes those connections.
 */
final class ConnectionLimit implements HttpHandler {

	private static final AttachmentKey<Boolean> COUNTED = AttachmentKey.create(Boolean.class);

	private static final long RETRY_MILLIS = 1_000;

	private final HttpHandler next;

	private final int maximumConnections;

	private final AtomicInteger open = new AtomicInteger();

	ConnectionLimit(HttpHandler next, int maximumConnections) {
		this.next = next;
		this.maximumConnections = maximumConnections;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) throws Exception {
		if (counted(exchange.getConnection())) {
			this.next.handleRequest(exchange);
			return;
		}
		exchange.setPersistent(false);
		Problem.notRun(ErrorCode.OVERLOADED, RETRY_MILLIS).send(exchange);
	}

	private boolean counted(ServerConnection connection) {
		if (connection.getAttachment(COUNTED) != null) {
			return true;
		}
		if (this.open.incrementAndGet() > this.maximumConnections) {
			this.open.decrementAndGet();
			return false;
		}
		connection.putAttachment(COUNTED, true);
		connection.addCloseListener((closed) -> this.open.decrementAndGet());
		return true;
	}

}
