package org.skylarkspring.gateway.http;

/**
 * Result of an HTTP call whose response is text.
 */
public sealed interface HttpTextResult {

	/**
	 * The complete response was received.
	 *
	 * @param status the HTTP status code
	 * @param body text of the body
	 */
	record Answered(int status, String body) implements HttpTextResult {
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
