package org.skylarkspring.entry.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;

/**
 * A request to another process.
 *
 * @param address address of the process
 * @param method HTTP method
 * @param path path and query
 * @param headers headers by name
 * @param body text of the body, empty for none
 * @param connectionReuseAllowed whether a kept connection may be used; a call that must
 * not run twice always opens its own, so that a failure to connect proves that it has not
 * run
 */
public record HttpClientRequest(String address, HttpString method, String path, Map<String, String> headers,
		Optional<String> body, boolean connectionReuseAllowed) {

	/**
	 * Makes a GET call.
	 * @param address address of the process
	 * @param path path and query
	 * @return the call
	 */
	public static HttpClientRequest get(String address, String path) {
		return new HttpClientRequest(address, Methods.GET, path, Map.of(), Optional.empty(), true);
	}

	/**
	 * Makes a POST call.
	 * @param address address of the process
	 * @param path path and query
	 * @param body text of the body in JSON
	 * @return the call
	 */
	public static HttpClientRequest post(String address, String path, String body) {
		return createWithJsonBody(address, Methods.POST, path, body);
	}

	/**
	 * Makes a PUT call.
	 * @param address address of the process
	 * @param path path and query
	 * @param body text of the body in JSON
	 * @return the call
	 */
	public static HttpClientRequest put(String address, String path, String body) {
		return createWithJsonBody(address, Methods.PUT, path, body);
	}

	/**
	 * Adds a header.
	 * @param name name of the header
	 * @param value value of the header
	 * @return a new call
	 */
	public HttpClientRequest withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpClientRequest(this.address, this.method, this.path, extended, this.body,
				this.connectionReuseAllowed);
	}

	private static HttpClientRequest createWithJsonBody(String address, HttpString method, String path, String body) {
		return new HttpClientRequest(address, method, path, Map.of("Content-Type", "application/json"),
				Optional.of(body), true);
	}

}
