package org.skylarkspring.gateway.internal;

import org.skylarkspring.gateway.pressure.BufferedBytes;

/**
 * Result of reading the body of a request.
 */
sealed interface RequestBody {

	/**
	 * The whole body was received. Its bytes are reserved in the {@link BufferedBytes}
	 * until the receiver releases them.
	 *
	 * @param bytes the body
	 */
	record Complete(byte[] bytes) implements RequestBody {
	}

	/** The body exceeds the maximum size; its rest was not read. */
	record TooLarge() implements RequestBody {
	}

	/** The bodies held in memory would exceed their limit; the rest was not read. */
	record MemoryExhausted() implements RequestBody {
	}

	/** The end of the body was not received in time. */
	record TimedOut() implements RequestBody {
	}

	/** Reading was given up because the instance is about to exit. */
	record Interrupted() implements RequestBody {
	}

	/**
	 * The connection failed before the end of the body.
	 *
	 * @param reason what went wrong, for logs
	 */
	record ConnectionFailed(String reason) implements RequestBody {
	}

}
