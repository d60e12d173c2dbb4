package org.skylarkspring.gateway.pressure;

/**
 * Limits the bytes of responses held in memory. The limit of each response shrinks with
 * the free memory, so that those that begin late still get a part, and the sum stays
 * within the limit however many there are.
 */
public final class ResponseMemory {

	/** Memory that all responses share, a quarter of the smallest heap in use. */
	private static final long SHARED_BYTES = 24L * 1024 * 1024;

	/** Part of the free memory that one response may use. */
	private static final int PARTS = 128;

	/** Part of half of the free memory that may be held for one slow caller. */
	private static final int SLOW_CALLER_PARTS = 16;

	/** Maximum number of bytes of one response while there are few. */
	public static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024;

	/** Number of bytes that a response may hold even if no memory is free. */
	public static final int MINIMUM_RESPONSE_BYTES = 4 * 1024;

	private long heldBytes;

	/**
	 * Returns how many bytes a response may hold for a slow caller before its server is
	 * read no longer. While memory is free, these are more than may be held elsewhere, so
	 * that the server can complete the response and need not cut it. Half of the memory
	 * is left to other responses.
	 * @return number of bytes, at least {@link #maximumResponseBytes()}
	 */
	public int maximumPendingBytes() {
		long part = (SHARED_BYTES / 2 - this.heldBytes) / SLOW_CALLER_PARTS;
		return (int) Math.max(maximumResponseBytes(), part);
	}

	/**
	 * Returns how many bytes of a response may be held now in each place where they wait:
	 * as an incomplete event, until the response is complete, or until the caller takes
	 * them.
	 * @return number of bytes
	 */
	public int maximumResponseBytes() {
		long part = (SHARED_BYTES - this.heldBytes) / PARTS;
		return (int) Math.max(MINIMUM_RESPONSE_BYTES, Math.min(MAXIMUM_RESPONSE_BYTES, part));
	}

	public long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Starts to count the bytes held in one place.
	 * @return the count, initially zero
	 */
	public Share openShare() {
		return new Share();
	}

	/**
	 * Bytes held in one place.
	 */
	public final class Share {

		private int bytes;

		private boolean closed;

		/**
		 * Sets the number of bytes. Has no effect after {@link #close()}.
		 * @param held number of bytes held now
		 */
		public void set(int held) {
			if (!this.closed) {
				ResponseMemory.this.heldBytes += held - this.bytes;
				this.bytes = held;
			}
		}

		/** Releases the bytes. */
		public void close() {
			set(0);
			this.closed = true;
		}

	}

}
