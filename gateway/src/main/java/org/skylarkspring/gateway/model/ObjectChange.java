package org.skylarkspring.gateway.model;

/**
 * Change of an object in the store.
 *
 * @param object the object after the change
 * @param deleted whether the object was deleted
 */
public record ObjectChange(StoredObject object, boolean deleted) {
}
