package org.skylarkspring.gateway.model;

import com.google.gson.JsonObject;

/**
 * Object in the platform's store.
 *
 * @param name name, unique within the kind of the object
 * @param revision revision of the store at the last change
 * @param content the JSON content, an empty object if it cannot be parsed
 */
public record StoredObject(String name, StoreRevision revision, JsonObject content) {

	/**
	 * Creates an object of a store that names no era.
	 * @param name name, unique within the kind of the object
	 * @param revisionNumber revision of the store at the last change
	 * @param content the JSON content
	 */
	public StoredObject(String name, long revisionNumber, JsonObject content) {
		this(name, new StoreRevision(0, revisionNumber), content);
	}

}
