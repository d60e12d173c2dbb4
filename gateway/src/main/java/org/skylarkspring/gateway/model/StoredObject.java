package org.skylarkspring.gateway.model;

import com.google.gson.JsonObject;

/**
 * An object of the platform's store.
 *
 * @param name name within its kind
 * @param revision revision of the last change
 * @param content what the object's writer wrote, an empty object if it can't be read
 */
public record StoredObject(String name, long revision, JsonObject content) {
}
