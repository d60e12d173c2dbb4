package org.skylarkspring.gateway.http;

/**
 * Outcome of a call that is answered by text.
 */
public sealed interface HttpTextResult {

	/**
	 * The whole answer has arrived.
	 *
	 * @param status the status
	 * @param body the body
	 */
	record Answered(int status, String body) implements HttpTextResult {
	}

	/**
	 * No whole answer has arrived.
	 *
	 * @param outcome what is known of the call
	 * @param reason what went wrong, for logs
	 */
	record Failed(DeliveryStatus outcome, String reason) implements HttpTextResult {
	}

}
