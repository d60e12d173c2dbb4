package org.skylarkspring.bench.standin;

import java.util.Deque;
import java.util.Optional;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.Options;

import org.skylarkspring.entry.http.Json;

/**
 * Common code of the HTTP stand-ins: starts the listener, parses query parameters and
 * sends JSON responses.
 */
final class StandInServer {

	private StandInServer() {
	}

	static Undertow start(String address, HttpHandler handler) {
		int colon = address.lastIndexOf(':');
		Undertow server = Undertow.builder()
			.addHttpListener(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
			.setIoThreads(2)
			.setWorkerThreads(4)
			.setSocketOption(Options.TCP_NODELAY, true)
			.setHandler(handler)
			.build();
		server.start();
		return server;
	}

	static void sendJson(HttpServerExchange exchange, int status, Object message) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(Json.write(message));
	}

	static Optional<String> queryParameter(HttpServerExchange exchange, String name) {
		return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
	}

	static long longQueryParameter(HttpServerExchange exchange, String name, long defaultValue) {
		return queryParameter(exchange, name).map(Long::parseLong).orElse(defaultValue);
	}

}
