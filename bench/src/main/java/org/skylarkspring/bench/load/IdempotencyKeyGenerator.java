package org.skylarkspring.bench.load;

import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Generates idempotency keys, which are version 7 UUIDs.
 */
public final class IdempotencyKeyGenerator {

	private static final long VERSION_BITS = 0x7000L;

	private static final long VARIANT_BITS = 0x8000000000000000L;

	private IdempotencyKeyGenerator() {
	}

	/**
	 * Generates a key with a given issue time.
	 * @param epochMillis issue time in milliseconds since the epoch
	 * @return the key
	 */
	public static String generate(long epochMillis) {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		long high = (epochMillis << 16) | VERSION_BITS | random.nextLong(0x1000);
		long low = VARIANT_BITS | (random.nextLong() >>> 2);
		return new UUID(high, low).toString();
	}

}
