package org.skylarkspring.gateway.model;

import java.util.List;

/**
 * Outcome of a call to the platform's store.
 */
public sealed interface StoreResult {

	/**
	 * Objects were read.
	 *
	 * @param objects the objects of this page
	 * @param revision the store's revision
	 * @param hasMore whether another page follows
	 * @param ageMillis time from the store's confirmation to the call, negative if it was
	 * confirmed while the call waited
	 */
	record Listed(List<StoredObject> objects, long revision, boolean hasMore, long ageMillis) implements StoreResult {

		/**
		 * Creates a page that the store itself has answered.
		 * @param objects the objects of this page
		 * @param revision the store's revision
		 * @param hasMore whether another page follows
		 */
		public Listed(List<StoredObject> objects, long revision, boolean hasMore) {
			this(objects, revision, hasMore, 0);
		}

	}

	/**
	 * A watch has ended.
	 *
	 * @param changes the changes since the watched revision, oldest first
	 * @param revision revision to watch from next
	 */
	record Changed(List<ObjectChange> changes, long revision) implements StoreResult {
	}

	/** The history asked for is gone. */
	record HistoryGone() implements StoreResult {
	}

	/** There is no such object. */
	record Missing() implements StoreResult {
	}

	/** The condition of a write did not hold. */
	record Conflict() implements StoreResult {
	}

	/** A write was done. */
	record Written() implements StoreResult {
	}

	/**
	 * The call failed; a write may or may not have been done.
	 *
	 * @param reason what went wrong, for logs
	 */
	record Failed(String reason) implements StoreResult {
	}

}
