package org.skylarkspring.entry.internal;

/**
 * Result of one request to the platform's object API.
 */
sealed interface ObjectStoreResult {

	/**
	 * The object was written.
	 *
	 * @param version version of the object after the write
	 */
	record Written(long version) implements ObjectStoreResult {
	}

	/**
	 * The object exists. Also the result of a write whose expected version does not match
	 * the stored one.
	 *
	 * @param version version of the object
	 * @param json value of the object as JSON text
	 */
	record Found(long version, String json) implements ObjectStoreResult {
	}

	/** The object does not exist. */
	record NotFound() implements ObjectStoreResult {
	}

	/**
	 * The store was not reached, rejected the request because of its rate limit, or is
	 * out of service. Nothing was changed.
	 */
	record Unavailable() implements ObjectStoreResult {
	}

	/** No response was received; a write may have taken effect. */
	record ResponseLost() implements ObjectStoreResult {
	}

}
