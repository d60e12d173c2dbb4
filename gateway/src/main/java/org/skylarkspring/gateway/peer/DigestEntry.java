package org.skylarkspring.gateway.peer;

/**
 * Entry of a {@link PeerDigest}. Entries of several instances with the same key are added
 * up.
 *
 * @param <T> the type of the entry
 */
public interface DigestEntry<T extends DigestEntry<T>> {

	/**
	 * Returns what the entry is about.
	 * @return the key, {@code null} in invalid entries
	 */
	String key();

	/**
	 * Adds the values of another entry with the same key.
	 * @param other the other entry
	 * @return the sum
	 */
	T plus(T other);

	/**
	 * Returns whether the values can be true.
	 * @return {@code false} if the entry has to be ignored
	 */
	boolean isValid();

}
