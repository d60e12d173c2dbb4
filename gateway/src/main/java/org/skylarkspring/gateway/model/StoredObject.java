package org.skylarkspring.gateway.model;

import com.google.gson.JsonObject;

/**
 * Object in the platform's store.
 *
 * @param name name, unique within the kind of the object
 * @param revision revision of the store at the last change
 * @param content the JSON content, an empty object if it cannot be parsed
 */
public record StoredObject(String name, long revision, JsonObject content) {
}
