package org.skylarkspring.gateway.port;

import java.util.Optional;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;

import org.skylarkspring.gateway.model.RequestHead;

/**
 * How callers say what they ask for.
 */
public interface CallerProtocol {

	/**
	 * Reads the head of a request.
	 * @param headers headers of the request
	 * @return the head, empty if it is malformed
	 */
	Optional<RequestHead> decodeRequestHeaders(HeaderMap headers);

	/**
	 * Says when a caller may come back.
	 * @param headers headers of the refusal
	 * @param retryAfterMillis when to come back
	 */
	void encodeRetryAfter(HeaderMap headers, long retryAfterMillis);

	/**
	 * Returns whether a header of a caller must not reach a server.
	 * @param name name of the header
	 * @return {@code true} for keys and for headers that only the gateway may set
	 */
	boolean shouldStripHeader(HttpString name);

}
