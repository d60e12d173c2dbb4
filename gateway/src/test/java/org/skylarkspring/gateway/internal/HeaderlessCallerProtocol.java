package org.skylarkspring.gateway.internal;

import java.util.Optional;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.port.CallerProtocol;

/**
 * Protocol of callers that send no headers.
 */
final class HeaderlessCallerProtocol implements CallerProtocol {

	@Override
	public Optional<RequestHead> decodeRequestHeaders(HeaderMap headers) {
		return Optional.empty();
	}

	@Override
	public void encodeRetryAfter(HeaderMap headers, long retryAfterMillis) {
		headers.put(Headers.RETRY_AFTER, 1);
	}

	@Override
	public boolean shouldStripHeader(HttpString name) {
		return false;
	}

}
