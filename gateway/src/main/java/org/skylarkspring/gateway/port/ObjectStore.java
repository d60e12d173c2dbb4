package org.skylarkspring.gateway.port;

import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoreRevision;

/**
 * Client of the platform's object store. The methods return immediately; each result is
 * delivered exactly once, on the thread that owns the gateway.
 */
public interface ObjectStore {

	/**
	 * Reads one object.
	 * @param kind kind of the object
	 * @param name name of the object
	 * @param result receives {@code Listed} with one object, {@code Missing} or
	 * {@code Failed}
	 */
	void read(ObjectKind kind, String name, Consumer<StoreResult> result);

	/**
	 * Lists one page of the objects of a kind.
	 * @param kind kind of the objects
	 * @param afterName name after which the page starts, empty for the first page
	 * @param result receives {@code Listed} or {@code Failed}
	 */
	void list(ObjectKind kind, String afterName, Consumer<StoreResult> result);

	/**
	 * Waits for changes of the objects of a kind.
	 * @param kind kind of the objects
	 * @param revision revision after which changes are returned
	 * @param waitMillis longest time to wait, in milliseconds
	 * @param result receives {@code Changed}, {@code HistoryGone} or {@code Failed}
	 */
	void watch(ObjectKind kind, StoreRevision revision, long waitMillis, Consumer<StoreResult> result);

	/**
	 * Creates or replaces an object unconditionally.
	 * @param kind kind of the object
	 * @param name name of the object
	 * @param content the content as JSON text
	 * @param result receives {@code Written}, {@code Conflict} or {@code Failed}
	 */
	void write(ObjectKind kind, String name, String content, Consumer<StoreResult> result);

	/**
	 * Replaces the status of an object if the object has not changed.
	 * @param kind kind of the object
	 * @param name name of the object
	 * @param revision revision that the object must have
	 * @param content the status as JSON text
	 * @param result receives {@code Written}, {@code Conflict} if the object has another
	 * revision, {@code Missing} or {@code Failed}
	 */
	void writeStatus(ObjectKind kind, String name, StoreRevision revision, String content,
			Consumer<StoreResult> result);

	/**
	 * Removes an object.
	 * @param kind kind of the object
	 * @param name name of the object
	 * @param result receives {@code Written}, {@code Missing} or {@code Failed}
	 */
	void remove(ObjectKind kind, String name, Consumer<StoreResult> result);

}
