package org.skylarkspring.gateway.internal;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Asks relays for what they have read from the platform's store.
 */
@FunctionalInterface
interface RelayCalls {

	/**
	 * Asks a relay.
	 * @param address the relay's address for peers
	 * @param call what is asked
	 * @param timeoutMillis longest time until the answer
	 * @param answer receives the answer, empty if there was none
	 */
	void ask(String address, RelayedCall call, long timeoutMillis, Consumer<Optional<RelayedAnswer>> answer);

}
