package org.skylarkspring.gateway.internal;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Asks relays for what they have read from the platform's store.
 */
@FunctionalInterface
interface RelayClient {

	/**
	 * Asks a relay.
	 * @param address the relay's address for peers
	 * @param call what is asked
	 * @param timeoutMillis longest time until the answer
	 * @param answer receives the answer, empty if there was none
	 */
	void call(String address, RelayRequest call, long timeoutMillis, Consumer<Optional<RelayResponse>> answer);

}
