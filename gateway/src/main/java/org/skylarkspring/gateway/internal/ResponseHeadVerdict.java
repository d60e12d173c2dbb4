package org.skylarkspring.gateway.internal;

/**
 * What the head of a server's response means for the request.
 */
sealed interface ResponseHeadVerdict {

	/**
	 * The response is relayed to the caller.
	 *
	 * @param stream whether it is relayed event by event
	 */
	record Relayed(boolean stream) implements ResponseHeadVerdict {
	}

	/**
	 * The server has not executed the request and will not.
	 */
	record Refused() implements ResponseHeadVerdict {
	}

	/**
	 * The response must not be relayed, and the request may have been executed.
	 *
	 * @param reason description for logs
	 */
	record Unusable(String reason) implements ResponseHeadVerdict {
	}

}
