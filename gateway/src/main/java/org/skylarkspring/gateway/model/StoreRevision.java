package org.skylarkspring.gateway.model;

/**
 * Revision of the platform's store. When the store returns from an older copy, a new era
 * begins, in which revision numbers are given out again.
 *
 * @param era number of the era, 0 if the store does not name it
 * @param number revision number, unique within the era
 */
public record StoreRevision(long era, long number) {

	/** Before any revision of the store. */
	public static final StoreRevision NONE = new StoreRevision(-1, -1);

	/**
	 * Returns whether this revision was given out before another one.
	 * @param other the other revision
	 * @return whether it is of an earlier era, or has a lower number in the same one
	 */
	public boolean isBefore(StoreRevision other) {
		return this.era < other.era || (this.era == other.era && this.number < other.number);
	}

}
