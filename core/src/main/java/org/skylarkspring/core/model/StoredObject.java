package org.skylarkspring.core.model;

/**
 * An object that the decision core writes to the platform's store.
 */
public sealed interface StoredObject {

	/**
	 * Claim of an idempotency key, with the progress of its request.
	 *
	 * @param attempt unique identifier of the claim, independent of the numbers of
	 * attempts on backend servers
	 * @param bodyDigest digest of the request body
	 * @param state progress of the request
	 * @param answer recorded response, {@code null} until the request has finished
	 */
	record IdempotencyRecord(String attempt, String bodyDigest, IdempotencyState state,
			RecordedResponse answer) implements StoredObject {
	}

	/**
	 * Lease of an exclusive role, identified by the key of the object.
	 *
	 * @param holder name of the instance that holds the lease, empty if the lease is free
	 * @param fencingNumber fencing number, increased with each new holder
	 * @param durationMillis validity of the lease after each renewal, in milliseconds
	 * @param renewal number increased with each renewal or change of holder
	 */
	record Lease(String holder, long fencingNumber, long durationMillis, long renewal) implements StoredObject {
	}

	/**
	 * Progress of a claimed request.
	 */
	enum IdempotencyState {

		/** The request may have been sent to a server. */
		STARTED,

		/** The request was abandoned before any byte was sent to a server. */
		RELEASED,

		/** The request has run and its response is recorded. */
		FINISHED

	}

}
