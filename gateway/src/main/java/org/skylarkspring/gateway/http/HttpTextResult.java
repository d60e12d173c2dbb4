package org.skylarkspring.gateway.http;

import io.undertow.util.HeaderMap;

/**
 * Result of an HTTP call whose response is text.
 */
public sealed interface HttpTextResult {

	/**
	 * The complete response was received.
	 *
	 * @param status the HTTP status code
	 * @param headers headers of the response
	 * @param body text of the body
	 */
	record Answered(int status, HeaderMap headers, String body) implements HttpTextResult {

		/**
		 * Creates a response without headers.
		 * @param status the HTTP status code
		 * @param body text of the body
		 */
		public Answered(int status, String body) {
			this(status, new HeaderMap(), body);
		}

	}

	/**
	 * No complete response was received.
	 *
	 * @param outcome whether the call may have reached the server
	 * @param reason what went wrong, for logs
	 */
	record Failed(DeliveryStatus outcome, String reason) implements HttpTextResult {
	}

}
