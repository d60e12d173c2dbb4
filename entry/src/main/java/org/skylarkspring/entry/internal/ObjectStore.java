package org.skylarkspring.entry.internal;

import java.util.concurrent.CompletableFuture;

/**
 * Versioned objects with conditional updates and watches.
 */
interface ObjectStore {

	/**
	 * Reads an object.
	 * @param key name of the object
	 * @return the result; never fails
	 */
	CompletableFuture<ObjectStoreResult> read(String key);

	/**
	 * Waits until an object has a version other than the known one.
	 * @param key name of the object
	 * @param knownVersion the known version, 0 for none
	 * @param waitMillis longest wait
	 * @return the result, unchanged objects included; never fails
	 */
	CompletableFuture<ObjectStoreResult> watch(String key, long knownVersion, long waitMillis);

	/**
	 * Writes an object if its version is as expected.
	 * @param key name of the object
	 * @param expectedVersion version to replace, 0 to create
	 * @param value text of the value in JSON
	 * @return the result; never fails
	 */
	CompletableFuture<ObjectStoreResult> write(String key, long expectedVersion, String value);

}
