package org.skylarkspring.gateway.internal;

import java.util.List;

import com.google.gson.JsonObject;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.StoredObject;

/**
 * What a relay has read from the platform's store.
 *
 * @param source life of the relay, within which its revisions hold
 * @param outcome what the objects are
 * @param objects the objects
 * @param revision revision to watch from next
 * @param heldMillis time the call waited at the relay
 * @param ageMillis time since the store confirmed the objects
 */
record RelayResponse(String source, Outcome outcome, List<RelayedObject> objects, long revision, long heldMillis,
		long ageMillis) {

	boolean hasRequiredFields() {
		return this.source != null && this.outcome != null && this.objects != null;
	}

	List<StoredObject> storedObjects() {
		return this.objects.stream().map(RelayedObject::toStoredObject).toList();
	}

	List<ObjectChange> objectChanges() {
		return this.objects.stream()
			.map((object) -> new ObjectChange(object.toStoredObject(), object.deleted()))
			.toList();
	}

	/**
	 * What the objects of an answer are.
	 */
	enum Outcome {

		/** All objects of the kind. */
		LISTED,

		/** The changes since the revision. */
		CHANGED,

		/** The changes since the revision are no longer known. */
		HISTORY_GONE,

		/** The relay can't reach the store itself. */
		UNAVAILABLE

	}

	/**
	 * An object as a relay passes it on.
	 *
	 * @param name name within its kind
	 * @param revision the store's revision of its last change
	 * @param content what its writer wrote
	 * @param deleted whether it was removed
	 */
	record RelayedObject(String name, long revision, JsonObject content, boolean deleted) {

		static RelayedObject of(StoredObject object, boolean deleted) {
			return new RelayedObject(object.name(), object.revision(), object.content(), deleted);
		}

		StoredObject toStoredObject() {
			return new StoredObject(this.name, this.revision, this.content);
		}

	}

}
