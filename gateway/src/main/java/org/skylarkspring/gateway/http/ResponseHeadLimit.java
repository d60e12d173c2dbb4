package org.skylarkspring.gateway.http;

import java.io.IOException;

/**
 * Limit of the bytes that a client connection reads before the head of the response is
 * complete. Interim responses count as part of the head.
 */
final class ResponseHeadLimit {

	/** Maximum size of a response head, many times that of a usual one. */
	static final int MAXIMUM_HEAD_BYTES = 32 * 1024;

	private final ResponseChunkCheck chunkCheck = new ResponseChunkCheck();

	private final HeadSyntaxCheck headCheck = new HeadSyntaxCheck();

	private int receivedBytes;

	private boolean headComplete;

	private boolean endOfInput;

	/**
	 * Returns the check of the chunks that follow the head.
	 * @return the check for the same connection
	 */
	ResponseChunkCheck chunkCheck() {
		return this.chunkCheck;
	}

	/**
	 * Returns the check of the head.
	 * @return the check for the same connection
	 */
	HeadSyntaxCheck headCheck() {
		return this.headCheck;
	}

	/** Records that the head is complete, so that further bytes are not limited. */
	void markHeadComplete() {
		this.headComplete = true;
	}

	/**
	 * Counts bytes that were read from the connection.
	 * @param bytes number of bytes
	 * @throws IOException if the head exceeds the maximum size
	 */
	void countReceived(int bytes) throws IOException {
		if (this.headComplete) {
			return;
		}
		this.receivedBytes += bytes;
		if (isExceeded()) {
			throw new IOException(reason());
		}
	}

	/** Records that the server has closed its side of the connection. */
	void markEndOfInput() {
		this.endOfInput = true;
	}

	/**
	 * Returns whether the server closed its side of the connection, which is neither a
	 * reset nor a close by this process.
	 * @return {@code true} if all bytes that it sent were read
	 */
	boolean isEndOfInput() {
		return this.endOfInput;
	}

	boolean isExceeded() {
		return !this.headComplete && this.receivedBytes > MAXIMUM_HEAD_BYTES;
	}

	String reason() {
		return "response head exceeds the maximum of " + MAXIMUM_HEAD_BYTES + " bytes";
	}

}
