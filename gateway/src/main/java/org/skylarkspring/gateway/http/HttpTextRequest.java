package org.skylarkspring.gateway.http;

import java.util.Optional;

import io.undertow.util.HttpString;

/**
 * HTTP request with a small text body.
 *
 * @param method HTTP method
 * @param path path and query
 * @param body JSON text of the body, empty for none
 * @param maximumResponseBytes maximum size of the response body; the call fails if the
 * response is larger
 */
public record HttpTextRequest(HttpString method, String path, Optional<String> body, int maximumResponseBytes) {

	/**
	 * Maximum size of a response of which as many may be awaited as there are requests.
	 */
	private static final int TINY_RESPONSE_BYTES = 4 * 1024;

	/** Maximum size of a response with a result or an error. */
	private static final int SMALL_RESPONSE_BYTES = 64 * 1024;

	/** Maximum size of a response with a list of objects. */
	private static final int LARGE_RESPONSE_BYTES = 4 * 1024 * 1024;

	/**
	 * Creates a request whose response is small.
	 * @param method the HTTP method
	 * @param path path and query
	 * @param body the JSON text of the body, empty for none
	 */
	public HttpTextRequest(HttpString method, String path, Optional<String> body) {
		this(method, path, body, SMALL_RESPONSE_BYTES);
	}

	/**
	 * Returns the same request for a response that contains a few values.
	 * @return the request
	 */
	public HttpTextRequest withTinyResponse() {
		return new HttpTextRequest(this.method, this.path, this.body, TINY_RESPONSE_BYTES);
	}

	/**
	 * Returns the same request for a response that may contain a list of objects.
	 * @return the request
	 */
	public HttpTextRequest withLargeResponse() {
		return new HttpTextRequest(this.method, this.path, this.body, LARGE_RESPONSE_BYTES);
	}

}
