package org.skylarkspring.gateway.internal;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Client for requests to relays for objects that they have read from the platform's
 * store.
 */
@FunctionalInterface
interface RelayClient {

	/**
	 * Sends a request to a relay.
	 * @param address address on which the relay serves its peers
	 * @param request the request
	 * @param timeoutMillis maximum time to wait for the response, in milliseconds
	 * @param callback receives the response, empty if there was no valid one
	 */
	void call(String address, RelayRequest request, long timeoutMillis, Consumer<Optional<RelayResponse>> callback);

}
