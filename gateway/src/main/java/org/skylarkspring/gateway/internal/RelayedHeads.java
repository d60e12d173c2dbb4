package org.skylarkspring.gateway.internal;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.skylarkspring.gateway.http.HopByHopHeaders;

/**
 * Makes the head of a request to a server from the one received from the caller, and the
 * head of a response to the caller from the one received from the server.
 */
final class RelayedHeads {

	private RelayedHeads() {
	}

	/**
	 * Sets method, path, query and headers of a request to a server, without the headers
	 * of the server protocol.
	 * @param from the request of the caller
	 * @param to the request to modify
	 */
	static void copyRequest(ActiveRequest from, ClientRequest to) {
		to.setMethod(from.exchange.getRequestMethod()).setPath(from.forwardedHead.target());
		HeaderMap headers = to.getRequestHeaders();
		copyHeaders(from.forwardedHead.headers(), headers);
		if (from.body.length > 0 || from.exchange.getRequestHeaders().contains(Headers.CONTENT_LENGTH)) {
			headers.put(Headers.CONTENT_LENGTH, from.body.length);
		}
	}

	/**
	 * Returns the headers of a response that the caller receives.
	 * @param response the response of the server
	 * @return the headers, without the length of the body
	 */
	static HeaderMap responseHeaders(ClientResponse response) {
		HeaderMap headers = new HeaderMap();
		copyHeaders(response.getResponseHeaders(), headers);
		HopByHopHeaders.removeFrom(headers);
		headers.remove(Headers.CONTENT_LENGTH);
		return headers;
	}

	private static void copyHeaders(HeaderMap from, HeaderMap to) {
		for (HttpString name : from.getHeaderNames()) {
			to.putAll(name, from.get(name));
		}
	}

}
