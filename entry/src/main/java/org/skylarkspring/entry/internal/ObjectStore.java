package org.skylarkspring.entry.internal;

import java.util.concurrent.CompletableFuture;

/**
 * Store of versioned objects with conditional updates and watches.
 */
interface ObjectStore {

	/**
	 * Reads an object.
	 * @param key name of the object
	 * @return the result; never completes exceptionally
	 */
	CompletableFuture<ObjectStoreResult> read(String key);

	/**
	 * Waits until the version of an object differs from the known one.
	 * @param key name of the object
	 * @param knownVersion version that the client has read last, 0 for none
	 * @param waitMillis maximum time to wait, in milliseconds
	 * @return the result, also for an object that has not changed when the wait ends;
	 * never completes exceptionally
	 */
	CompletableFuture<ObjectStoreResult> watch(String key, long knownVersion, long waitMillis);

	/**
	 * Writes an object if its current version equals the expected one.
	 * @param key name of the object
	 * @param expectedVersion version to replace, 0 to create
	 * @param value new value as JSON text
	 * @return the result; never completes exceptionally
	 */
	CompletableFuture<ObjectStoreResult> write(String key, long expectedVersion, String value);

}
