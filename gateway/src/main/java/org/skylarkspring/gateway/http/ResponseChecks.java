package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Checks of a response on the bytes of its connection: the size and syntax of the head,
 * which includes interim responses, and what a server writes besides the chunks of a
 * body. <pre class="code">
 * checks.receive(bytes);
 * checks.markHeadComplete();
 * checks.requireValidBody();
 * </pre>
 */
final class ResponseChecks {

	/** Maximum size of a response head, many times that of a usual one. */
	static final int MAXIMUM_HEAD_BYTES = 32 * 1024;

	private HeadSyntaxCheck headCheck = new HeadSyntaxCheck();

	private ResponseChunkCheck chunkCheck = new ResponseChunkCheck();

	private int receivedBytes;

	private boolean headComplete;

	private boolean endOfInput;

	/**
	 * Receives bytes of the connection.
	 * @param bytes the bytes, in the order of the connection
	 * @throws IOException if the response is invalid or exceeds a limit
	 */
	void receive(ByteBuffer bytes) throws IOException {
		int count = bytes.remaining();
		this.headCheck.receive(bytes);
		requireValidHead();
		if (this.headCheck.isBodyChunked()) {
			this.chunkCheck.receive(bytes);
			this.chunkCheck.requireWithinLimit();
		}
		else if (this.headCheck.isBodyWithoutLength()) {
			this.chunkCheck.receive(bytes);
		}
		countReceived(count);
	}

	/** Prepares for the next response on the same connection. */
	void restart() {
		this.headCheck = new HeadSyntaxCheck();
		this.chunkCheck = new ResponseChunkCheck();
		this.receivedBytes = 0;
		this.headComplete = false;
	}

	/** Records that the head is complete, so that further bytes are not limited. */
	void markHeadComplete() {
		this.headComplete = true;
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

	/**
	 * Returns why the head is malformed.
	 * @return description for logs, empty as long as there is no fault
	 */
	Optional<String> headFault() {
		return this.headCheck.fault();
	}

	/**
	 * Fails if the body is chunked and the server wrote something else into it, or if the
	 * head does not say that it is chunked.
	 * @throws IOException if the body cannot be trusted
	 */
	void requireValidBody() throws IOException {
		if (this.headCheck.isBodyChunked()) {
			this.chunkCheck.requireValid();
		}
		else if (this.chunkCheck.isComplete()) {
			throw new IOException("body without a stated length consists of chunks");
		}
	}

	/**
	 * Describes why reading the response failed. The HTTP client replaces the exception
	 * of a failed read by one of its own.
	 * @param failure exception of the HTTP client
	 * @return description for logs
	 */
	String describe(IOException failure) {
		return headFault().or(this::describeExceededLimit)
			.or(() -> Optional.ofNullable(failure.getMessage()))
			.orElse(failure.getClass().getSimpleName());
	}

	private void requireValidHead() throws IOException {
		Optional<String> fault = headFault();
		if (fault.isPresent()) {
			throw new IOException(fault.get());
		}
	}

	private void countReceived(int bytes) throws IOException {
		if (this.headComplete) {
			return;
		}
		this.receivedBytes += bytes;
		Optional<String> exceeded = describeExceededLimit();
		if (exceeded.isPresent()) {
			throw new IOException(exceeded.get());
		}
	}

	private Optional<String> describeExceededLimit() {
		boolean exceeded = !this.headComplete && this.receivedBytes > MAXIMUM_HEAD_BYTES;
		return exceeded ? Optional.of("response head exceeds the maximum of " + MAXIMUM_HEAD_BYTES + " bytes")
				: Optional.empty();
	}

}
