package org.skylarkspring.core.model;

/**
 * Response of the platform's store to one operation, or the failure of the operation.
 */
public sealed interface StoreResponse {

	/**
	 * The write was applied.
	 *
	 * @param version version of the object after the write
	 */
	record Written(long version) implements StoreResponse {
	}

	/**
	 * The current object in the store, returned for a read or for a write that expected
	 * another version.
	 *
	 * @param version version of the object
	 * @param value content of the object
	 */
	record Found(long version, StoredObject value) implements StoreResponse {
	}

	/** The object does not exist in the store. */
	record NotFound() implements StoreResponse {
	}

	/**
	 * The store rejected the operation or could not be reached; the object is unchanged.
	 */
	record Unavailable() implements StoreResponse {
	}

	/** The response was lost; a write may have been applied. */
	record ResponseLost() implements StoreResponse {
	}

}
