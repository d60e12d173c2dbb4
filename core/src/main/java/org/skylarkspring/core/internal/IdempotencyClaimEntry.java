package org.skylarkspring.core.internal;

import org.skylarkspring.core.model.StoredObject.IdempotencyRecord;

/**
 * The claim of one keyed request in the platform's store.
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
