package org.skylarkspring.gateway.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/**
 * How the end of a response body is marked.
 */
public enum ResponseFraming {

	/** The head states the number of bytes. */
	CONTENT_LENGTH,

	/** The body is sent in chunks, the last of which is empty. */
	CHUNKED,

	/**
	 * The body ends when the server closes the connection, so that a truncated body
	 * cannot be told from a complete one by its framing.
	 */
	CONNECTION_CLOSE;

	/**
	 * Determines the framing of a response that has a body.
	 * @param headers headers of the response
	 * @return the framing
	 */
	public static ResponseFraming of(HeaderMap headers) {
		if (headers.contains(Headers.TRANSFER_ENCODING)) {
			return CHUNKED;
		}
		return headers.contains(Headers.CONTENT_LENGTH) ? CONTENT_LENGTH : CONNECTION_CLOSE;
	}

}
