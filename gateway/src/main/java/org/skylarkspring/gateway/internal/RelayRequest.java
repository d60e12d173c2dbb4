package org.skylarkspring.gateway.internal;

import java.util.List;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreRevision;

/**
 * Request to a relay for objects that it has read from the platform's store.
 *
 * @param verb operation
 * @param kind kind of the objects
 * @param source incarnation of the relay to which the revision refers, empty except for a
 * watch
 * @param revision revision known to the requesting instance; only later changes are
 * returned
 * @param waitMillis maximum time a watch waits for a change, in milliseconds
 * @param told list with the load report of the requesting instance, empty unless the
 * configuration is read
 * @param acceptsUnchanged whether the relay may respond that the configuration is
 * unchanged, {@code null} in requests of earlier versions, which require the object
 * @param era era of the revision of the configuration, {@code null} in requests of
 * earlier versions
 */
record RelayRequest(Operation verb, ObjectKind kind, String source, long revision, long waitMillis,
		List<PeerLoadReport> told, Boolean acceptsUnchanged, Long era) {

	RelayRequest(Operation verb, ObjectKind kind, String source, long revision, long waitMillis) {
		this(verb, kind, source, revision, waitMillis, List.of(), null, null);
	}

	/**
	 * Creates a request for the configuration.
	 * @param revision revision of the configuration known to the instance
	 * @param report load report of the instance
	 * @return the request
	 */
	static RelayRequest readConfiguration(StoreRevision revision, PeerLoadReport report) {
		return new RelayRequest(Operation.READ, ObjectKind.CONFIGURATION, "", revision.number(), 0, List.of(report),
				true, revision.era());
	}

	boolean knows(StoreRevision current) {
		boolean sameEra = this.era == null || this.era == current.era();
		return sameEra && this.revision == current.number();
	}

	boolean allowsUnchanged(StoreRevision current) {
		return Boolean.TRUE.equals(this.acceptsUnchanged) && this.era != null && knows(current);
	}

	boolean hasRequiredFields() {
		return this.verb != null && this.kind != null && this.source != null && this.told != null
				&& this.told.stream().allMatch((report) -> report != null && report.hasRequiredFields());
	}

	/**
	 * Operation of a relay request.
	 */
	enum Operation {

		/**
		 * Reads the configuration. The relay responds immediately if its configuration
		 * has a different revision or is not confirmed, otherwise after its next poll.
		 */
		READ,

		/** Lists all objects of the kind. */
		LIST,

		/** Waits for changes after the revision. */
		WATCH

	}

}
