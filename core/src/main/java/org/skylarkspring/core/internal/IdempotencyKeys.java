package org.skylarkspring.core.internal;

import java.util.Optional;
import java.util.UUID;

/**
 * Parses idempotency keys. A key is a version 7 UUID, which contains its time of issue,
 * so that a key older than the retention period is recognised without a stored record.
 */
final class IdempotencyKeys {

	private static final int UUID_TEXT_LENGTH = 36;

	private static final int UUID_VERSION = 7;

	private static final int TIMESTAMP_SHIFT = 16;

	private IdempotencyKeys() {
	}

	/**
	 * Returns the time at which a key was issued.
	 * @param key the key
	 * @return milliseconds since the epoch, empty if the key is not a version 7 UUID
	 */
	static Optional<Long> issuedAtEpochMillis(String key) {
		try {
			UUID uuid = UUID.fromString(key);
			boolean valid = key.length() == UUID_TEXT_LENGTH && uuid.version() == UUID_VERSION && uuid.variant() == 2;
			return valid ? Optional.of(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT) : Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
