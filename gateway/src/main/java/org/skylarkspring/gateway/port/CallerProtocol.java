package org.skylarkspring.gateway.port;

import java.util.Optional;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;

import org.skylarkspring.gateway.model.RequestHead;

/**
 * Encoding of requests and rejections in the HTTP headers exchanged with callers.
 */
public interface CallerProtocol {

	/**
	 * Decodes the headers of a request.
	 * @param headers headers of the request
	 * @return the decoded information, empty if the headers are malformed
	 */
	Optional<RequestHead> decodeRequestHeaders(HeaderMap headers);

	/**
	 * Adds the time after which a caller may retry.
	 * @param headers headers of the response that rejects the request
	 * @param retryAfterMillis time to wait before the retry, in milliseconds
	 */
	void encodeRetryAfter(HeaderMap headers, long retryAfterMillis);

	/**
	 * Returns whether a header of a request must not be forwarded to a server.
	 * @param name name of the header
	 * @return {@code true} for API keys and for headers that only the gateway may set
	 */
	boolean shouldStripHeader(HttpString name);

}
