package org.skylarkspring.core.internal;

import org.skylarkspring.core.model.StoredObject.IdempotencyRecord;

/**
 * Claim on the idempotency key of one request, recorded in the platform's store.
 */
final class IdempotencyClaimEntry {

	final String objectKey;

	final IdempotencyRecord initialRecord;

	long version;

	int lostResponses;

	IdempotencyClaimEntry(String objectKey, IdempotencyRecord initialRecord) {
		this.objectKey = objectKey;
		this.initialRecord = initialRecord;
	}

}
