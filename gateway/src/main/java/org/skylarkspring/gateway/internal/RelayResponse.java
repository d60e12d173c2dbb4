package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.stream.Stream;

import com.google.gson.JsonObject;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.model.StoredObject;

/**
 * Response of a relay with objects that it has read from the platform's store.
 *
 * @param source incarnation of the relay; its revisions are valid only within it
 * @param outcome kind of result
 * @param objects listed or changed objects
 * @param revision revision of the configuration if it was read, otherwise the revision to
 * watch from next
 * @param heldMillis time for which the request waited at the relay, in milliseconds
 * @param ageMillis time since the store confirmed the objects, in milliseconds
 * @param era era of the store in which its revisions were given out, {@code null} in
 * responses of earlier versions
 */
record RelayResponse(String source, Outcome outcome, List<RelayedObject> objects, long revision, long heldMillis,
		long ageMillis, Long era) {

	boolean hasRequiredFields() {
		return this.source != null && this.outcome != null && this.objects != null;
	}

	/**
	 * Returns the revision with its era.
	 * @param knownEra era to assume if the relay does not name it
	 * @return the revision
	 */
	StoreRevision storeRevision(long knownEra) {
		return new StoreRevision((this.era != null) ? this.era : knownEra, this.revision);
	}

	List<StoredObject> storedObjects() {
		return usableObjects().map((object) -> object.toStoredObject(this.era)).toList();
	}

	List<ObjectChange> objectChanges() {
		return usableObjects().map((object) -> new ObjectChange(object.toStoredObject(this.era), object.deleted()))
			.toList();
	}

	// An object without a name must not affect the others.
	private Stream<RelayedObject> usableObjects() {
		return this.objects.stream().filter((object) -> object != null && object.name() != null);
	}

	/**
	 * Kind of result of a relay request.
	 */
	enum Outcome {

		/** The response contains the configuration or all objects of the kind. */
		LISTED,

		/** The configuration still has the revision of the request. */
		UNCHANGED,

		/** The response contains the changes since the revision. */
		CHANGED,

		/**
		 * The relay no longer has all changes since the revision; the client must list
		 * again.
		 */
		HISTORY_GONE,

		/** The relay cannot reach the store or has no confirmed configuration. */
		UNAVAILABLE

	}

	/**
	 * An object sent by a relay.
	 *
	 * @param name name, unique within its kind
	 * @param revision the store's revision of the last change to the object
	 * @param content content of the object
	 * @param deleted whether the object was deleted
	 */
	record RelayedObject(String name, long revision, JsonObject content, boolean deleted) {

		static RelayedObject of(StoredObject object, boolean deleted) {
			return new RelayedObject(object.name(), object.revision().number(), object.content(), deleted);
		}

		StoredObject toStoredObject(Long era) {
			return new StoredObject(this.name, new StoreRevision((era != null) ? era : 0, this.revision),
					(this.content != null) ? this.content : new JsonObject());
		}

	}

}
