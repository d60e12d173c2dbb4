package org.skylarkspring.core.hash;

/**
 * Score function for rendezvous hashing: each pair of names has a fixed pseudo-random
 * score, mixed with the finalizer of SplitMix64.
 */
public final class RendezvousHash {

	private static final long GOLDEN_RATIO_MULTIPLIER = 0x9E3779B97F4A7C15L;

	private RendezvousHash() {
	}

	/**
	 * Returns the score of a pair of names.
	 * @param first the first name
	 * @param second the second name
	 * @return the score, uniformly distributed over all {@code long} values
	 */
	public static long score(String first, String second) {
		long hash = ((long) first.hashCode() << 32) ^ second.hashCode();
		hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
		hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
		return (hash ^ (hash >>> 31)) * GOLDEN_RATIO_MULTIPLIER;
	}

}
