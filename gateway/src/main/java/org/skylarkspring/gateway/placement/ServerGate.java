package org.skylarkspring.gateway.placement;

import java.util.Optional;

/**
 * Rule about which servers a request may use: it excludes servers or, if advisory, uses
 * them last, and may prefer some.
 */
public interface ServerGate {

	/**
	 * Returns why a server must not be used now or, if the rule is advisory, why it is
	 * used last. Takes no permit.
	 * @param use the intended use
	 * @param nowMillis current time in milliseconds
	 * @return the reason, empty if the server may be used
	 */
	Optional<String> findObjection(ServerUse use, long nowMillis);

	/**
	 * Returns whether the condition only prefers some servers to others.
	 * @return {@code true} if a server to which there is an objection is used all the
	 * same when no other one can be
	 */
	default boolean isAdvisory() {
		return false;
	}

	/**
	 * Returns whether a server that has room is to be used before others, whatever their
	 * load. Takes no permit.
	 * @param use the intended use
	 * @param nowMillis current time in milliseconds
	 * @return {@code false} if only its cost counts
	 */
	default boolean isPreferred(ServerUse use, long nowMillis) {
		return false;
	}

	/**
	 * Takes a permit for a use to which there is no objection.
	 * @param use the intended use
	 * @param nowMillis current time in milliseconds
	 * @return {@code false} if there is no permit left
	 */
	default boolean tryAcquire(ServerUse use, long nowMillis) {
		return true;
	}

}
