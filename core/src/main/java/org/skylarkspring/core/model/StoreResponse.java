package org.skylarkspring.core.model;

/**
 * Answer of the platform's store to one operation.
 */
public sealed interface StoreResponse {

	/**
	 * The write took effect.
	 *
	 * @param version version of the object after the write
	 */
	record Written(long version) implements StoreResponse {
	}

	/**
	 * The object as the store holds it; the answer to a read or to a write whose
	 * condition failed.
	 *
	 * @param version version of the object
	 * @param value the object
	 */
	record Found(long version, StoredObject value) implements StoreResponse {
	}

	/** The store holds no such object. */
	record NotFound() implements StoreResponse {
	}

	/** The store refused the operation or was not reached; nothing has changed. */
	record Unavailable() implements StoreResponse {
	}

	/** The answer was lost; a write may have taken effect. */
	record ResponseLost() implements StoreResponse {
	}

}
