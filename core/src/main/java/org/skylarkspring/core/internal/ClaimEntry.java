package org.skylarkspring.core.internal;

import org.skylarkspring.core.model.StoredObject.Claim;

/**
 * The claim of one keyed request in the platform's store.
 */
final class ClaimEntry {

	final String key;

	final Claim started;

	long version;

	int lostAnswers;

	ClaimEntry(String key, Claim started) {
		this.key = key;
		this.started = started;
	}

}
