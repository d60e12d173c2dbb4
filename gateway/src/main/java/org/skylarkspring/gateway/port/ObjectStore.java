package org.skylarkspring.gateway.port;

import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;

/**
 * The platform's store of objects. Calls return at once; results arrive on the thread
 * that owns the gateway, each exactly once.
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
	 * Lists the objects of a kind, one page.
	 * @param kind kind of the objects
	 * @param after name after which the page starts, empty for the first page
	 * @param result receives {@code Listed} or {@code Failed}
	 */
	void list(ObjectKind kind, String after, Consumer<StoreResult> result);

	/**
	 * Waits for changes of a kind.
	 * @param kind kind of the objects
	 * @param revision revision after which changes count
	 * @param waitMillis longest time to wait
	 * @param result receives {@code Changed}, {@code HistoryGone} or {@code Failed}
	 */
	void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreResult> result);

	/**
	 * Creates or replaces an object without a condition.
	 * @param kind kind of the object
	 * @param name name of the object
	 * @param content text of the content, in JSON
	 * @param result receives {@code Written}, {@code Conflict} or {@code Failed}
	 */
	void write(ObjectKind kind, String name, String content, Consumer<StoreResult> result);

	/**
	 * Removes an object.
	 * @param kind kind of the object
	 * @param name name of the object
	 * @param result receives {@code Written}, {@code Missing} or {@code Failed}
	 */
	void remove(ObjectKind kind, String name, Consumer<StoreResult> result);

}
