package org.skylarkspring.gateway.pressure;

/**
 * Counts the bytes of request bodies held in memory and limits their sum.
 */
public final class BufferedBytes {

	private final long maximumBytes;

	private long heldBytes;

	public BufferedBytes(long maximumBytes) {
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Reserves memory if the limit allows it.
	 * @param bytes number of bytes
	 * @return whether the bytes may be held; if so, they have to be released later
	 */
	public boolean tryReserve(long bytes) {
		if (!hasRoomFor(bytes)) {
			return false;
		}
		this.heldBytes += bytes;
		return true;
	}

	public boolean hasRoomFor(long bytes) {
		return this.heldBytes + bytes <= this.maximumBytes;
	}

	public void release(long bytes) {
		this.heldBytes -= bytes;
	}

	public long heldBytes() {
		return this.heldBytes;
	}

}
