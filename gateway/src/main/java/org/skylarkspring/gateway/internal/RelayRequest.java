package org.skylarkspring.gateway.internal;

import java.util.List;

import org.skylarkspring.gateway.model.ObjectKind;

/**
 * Asks a relay for what it has read from the platform's store.
 *
 * @param verb what is asked
 * @param kind kind of the objects
 * @param source life of the relay whose revisions are meant, empty for none
 * @param revision revision after which changes count
 * @param waitMillis longest time to wait for one
 * @param told what the asking instance has placed, empty unless the configuration is
 * asked for
 */
record RelayRequest(Verb verb, ObjectKind kind, String source, long revision, long waitMillis,
		List<PeerLoadReport> told) {

	boolean hasRequiredFields() {
		return this.verb != null && this.kind != null && this.source != null && this.told != null
				&& this.told.stream().allMatch(PeerLoadReport::hasRequiredFields);
	}

	/**
	 * What is asked.
	 */
	enum Verb {

		/** The configuration, at once if it is newer than the revision. */
		READ,

		/** All objects of the kind. */
		LIST,

		/** The changes after the revision. */
		WATCH

	}

}
