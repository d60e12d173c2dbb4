package org.skylarkspring.gateway.internal;

/**
 * Counts the bytes of request bodies held in memory and limits their sum.
 */
final class BufferedBytes {

	private final long maximumBytes;

	private long heldBytes;

	BufferedBytes(long maximumBytes) {
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Reserves memory if the limit allows it.
	 * @param bytes number of bytes
	 * @return whether the bytes may be held; if so, they have to be released later
	 */
	boolean tryReserve(long bytes) {
		if (!hasRoomFor(bytes)) {
			return false;
		}
		this.heldBytes += bytes;
		return true;
	}

	boolean hasRoomFor(long bytes) {
		return this.heldBytes + bytes <= this.maximumBytes;
	}

	void release(long bytes) {
		this.heldBytes -= bytes;
	}

	long heldBytes() {
		return this.heldBytes;
	}

}
