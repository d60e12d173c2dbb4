package org.skylarkspring.gateway.internal;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;

/**
 * Reads the bodies of the callers' requests, and gives up all that are still arriving
 * when the instance is about to exit.
 */
final class CallerBodies {

	private final Map<HttpServerExchange, RequestBodyReader> readers = new IdentityHashMap<>();

	private final Scheduler scheduler;

	CallerBodies(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Starts reading a body.
	 * @param exchange the exchange whose body is read
	 * @param limits limits of the body
	 * @param callback receives the result, exactly once
	 */
	void read(HttpServerExchange exchange, RequestBodyReader.Limits limits, Consumer<RequestBody> callback) {
		RequestBodyReader reader = RequestBodyReader.create(exchange, limits, this.scheduler, (body) -> {
			this.readers.remove(exchange);
			callback.accept(body);
		});
		this.readers.put(exchange, reader);
		reader.start();
	}

	/** Gives up the bodies that have not arrived completely. */
	void interruptAll() {
		List.copyOf(this.readers.values()).forEach(RequestBodyReader::interrupt);
	}

}
