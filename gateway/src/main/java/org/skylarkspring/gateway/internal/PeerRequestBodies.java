package org.skylarkspring.gateway.internal;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;

import org.skylarkspring.gateway.pressure.BufferedBytes;

/**
 * Reads the bodies of requests from other instances, within limits.
 */
final class PeerRequestBodies {

	/** Larger than a load report on all servers of the largest cluster. */
	private static final long MAXIMUM_BODY_BYTES = 256 * 1024;

	private static final long MAXIMUM_BUFFERED_BYTES = 8L * 1024 * 1024;

	private static final long TIMEOUT_MILLIS = 1_000;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int REQUEST_TIMEOUT = 408;

	private final RequestBodyReader.Limits limits = new RequestBodyReader.Limits(MAXIMUM_BODY_BYTES, TIMEOUT_MILLIS,
			new BufferedBytes(MAXIMUM_BUFFERED_BYTES));

	private final Scheduler scheduler;

	private final DecisionLog log;

	PeerRequestBodies(Scheduler scheduler, DecisionLog log) {
		this.scheduler = scheduler;
		this.log = log;
	}

	/**
	 * Reads the body of a request.
	 * @param exchange the exchange
	 * @param onComplete receives the text of the body; otherwise the exchange is ended
	 */
	void read(HttpServerExchange exchange, Consumer<String> onComplete) {
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> RequestBodyReader.read(exchange, this.limits, this.scheduler, (body) -> {
					if (body instanceof RequestBody.Complete complete) {
						this.limits.memory().release(complete.bytes().length);
						handle(exchange, new String(complete.bytes(), StandardCharsets.UTF_8), onComplete);
					}
					else {
						end(exchange, body);
					}
				}));
	}

	// The peer would wait for a response until its timeout.
	private void handle(HttpServerExchange exchange, String text, Consumer<String> onComplete) {
		try {
			onComplete.accept(text);
		}
		catch (RuntimeException ex) {
			this.log.logStateChange("message of peer could not be handled",
					Map.of("path", exchange.getRequestPath(), "error", String.valueOf(ex)));
			IoUtils.safeClose(exchange.getConnection());
		}
	}

	private void end(HttpServerExchange exchange, RequestBody body) {
		this.log.logStateChange("request body of peer not read, ending its call",
				Map.of("path", exchange.getRequestPath(), "result", String.valueOf(body)));
		if (body instanceof RequestBody.ConnectionFailed) {
			IoUtils.safeClose(exchange.getConnection());
		}
		else {
			LingeringClose.respondAndClose(exchange,
					(body instanceof RequestBody.TimedOut) ? REQUEST_TIMEOUT : CONTENT_TOO_LARGE, this.scheduler);
		}
	}

}
