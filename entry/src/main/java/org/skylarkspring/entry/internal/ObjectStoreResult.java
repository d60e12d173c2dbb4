package org.skylarkspring.entry.internal;

/**
 * Result of one call to the platform's object API.
 */
sealed interface ObjectStoreResult {

	/**
	 * The write took effect.
	 *
	 * @param version version after the write
	 */
	record Written(long version) implements ObjectStoreResult {
	}

	/**
	 * The object; also the answer to a write whose condition failed.
	 *
	 * @param version version of the object
	 * @param json JSON text of the value
	 */
	record Found(long version, String json) implements ObjectStoreResult {
	}

	/** There is no such object. */
	record NotFound() implements ObjectStoreResult {
	}

	/** Nothing has changed: not reached, over the rate limit, or out of service. */
	record Unavailable() implements ObjectStoreResult {
	}

	/** No answer came; a write may have taken effect. */
	record ResponseLost() implements ObjectStoreResult {
	}

}
