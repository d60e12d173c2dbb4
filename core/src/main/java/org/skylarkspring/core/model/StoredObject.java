package org.skylarkspring.core.model;

/**
 * Objects that the core keeps in the platform's store.
 */
public sealed interface StoredObject {

	/**
	 * The claim of an idempotency key.
	 *
	 * @param attempt unique name of the attempt that owns the claim
	 * @param bodyDigest digest of the request's body
	 * @param state progress of the request
	 * @param answer the recorded answer, {@code null} until the request has finished
	 */
	record IdempotencyRecord(String attempt, String bodyDigest, IdempotencyState state,
			RecordedResponse answer) implements StoredObject {
	}

	/**
	 * A lease on a named duty.
	 *
	 * @param holder instance that holds the lease
	 * @param fencingNumber number that rises with each new holder
	 * @param durationMillis how long the lease lasts after each renewal
	 * @param renewal number of renewals by this holder
	 */
	record Lease(String holder, long fencingNumber, long durationMillis, long renewal) implements StoredObject {
	}

	/**
	 * Progress of a claimed request.
	 */
	enum IdempotencyState {

		/** The request may have been sent to a server. */
		STARTED,

		/** The request was given up before any byte was sent. */
		RELEASED,

		/** The request has run and its answer is recorded. */
		FINISHED

	}

}
