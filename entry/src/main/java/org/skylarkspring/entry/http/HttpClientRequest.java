package org.skylarkspring.entry.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;

/**
 * An HTTP request to another process.
 *
 * @param address IP address and port of the process
 * @param method HTTP method
 * @param path path and query string
 * @param headers headers by name
 * @param body text of the body, empty for none
 * @param connectionReuseAllowed whether an idle connection may be reused; a caller's
 * request to a backend always opens a new connection, so that a connect failure proves
 * that it has not run and no late response to another request is taken for its own
 */
public record HttpClientRequest(String address, HttpString method, String path, Map<String, String> headers,
		Optional<String> body, boolean connectionReuseAllowed) {

	/**
	 * Creates a GET request.
	 * @param address the IP address and port of the process
	 * @param path path and query string
	 * @return the request
	 */
	public static HttpClientRequest get(String address, String path) {
		return new HttpClientRequest(address, Methods.GET, path, Map.of(), Optional.empty(), true);
	}

	/**
	 * Creates a POST request with a JSON body.
	 * @param address the IP address and port of the process
	 * @param path path and query string
	 * @param body the JSON text of the body
	 * @return the request
	 */
	public static HttpClientRequest post(String address, String path, String body) {
		return createWithJsonBody(address, Methods.POST, path, body);
	}

	/**
	 * Creates a PUT request with a JSON body.
	 * @param address the IP address and port of the process
	 * @param path path and query string
	 * @param body the JSON text of the body
	 * @return the request
	 */
	public static HttpClientRequest put(String address, String path, String body) {
		return createWithJsonBody(address, Methods.PUT, path, body);
	}

	/**
	 * Returns a copy of this request with an additional header.
	 * @param name name of the header
	 * @param value value of the header
	 * @return the new request
	 */
	public HttpClientRequest withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpClientRequest(this.address, this.method, this.path, extended, this.body,
				this.connectionReuseAllowed);
	}

	/**
	 * Returns a copy of this request that neither reuses a connection nor leaves its own
	 * to another request.
	 * @return the new request
	 */
	public HttpClientRequest onNewConnection() {
		return new HttpClientRequest(this.address, this.method, this.path, this.headers, this.body, false);
	}

	private static HttpClientRequest createWithJsonBody(String address, HttpString method, String path, String body) {
		return new HttpClientRequest(address, method, path, Map.of("Content-Type", "application/json"),
				Optional.of(body), true);
	}

}
