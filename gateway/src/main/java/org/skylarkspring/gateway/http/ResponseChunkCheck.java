package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Checks the size lines and trailers of a chunked response body on the bytes of its
 * connection, and limits what a server writes besides the chunks. The HTTP client takes a
 * line without a size for the last chunk, so that a body would look complete where the
 * server wrote something else into it. It keeps all lines after the last chunk, and does
 * not return to the event loop within a line.
 */
final class ResponseChunkCheck {

	/** Number of characters of a line that are kept; the others are not needed. */
	private static final int MAXIMUM_KEPT_CHARACTERS = 200;

	/** Maximum number of bytes of a size line, or after the last chunk. */
	static final int MAXIMUM_BYTES_BESIDES_CHUNKS = 8 * 1024;

	private static final int HEXADECIMAL = 16;

	/** More digits would exceed the range of a number, and no chunk is that large. */
	private static final int MAXIMUM_SIZE_DIGITS = 15;

	private final StringBuilder line = new StringBuilder();

	private State state = State.CHUNK_SIZE;

	private long remainingChunkBytes;

	/** Bytes since the last byte of a chunk. */
	private long bytesBesidesChunks;

	private String fault = "";

	/**
	 * Receives bytes of the connection that follow the head of a chunked response.
	 * @param bytes the bytes, in the order of the connection
	 */
	void receive(ByteBuffer bytes) {
		while (bytes.hasRemaining() && this.state != State.ENDED) {
			if (this.remainingChunkBytes > 0) {
				skipChunkBytes(bytes);
			}
			else {
				this.bytesBesidesChunks++;
				receiveLineByte((char) (bytes.get() & 0xff));
			}
		}
		if (!this.fault.isEmpty()) {
			this.bytesBesidesChunks += bytes.remaining();
		}
	}

	/**
	 * Fails if the server has written too many bytes that belong to no chunk.
	 * @throws IOException if there are more than {@value #MAXIMUM_BYTES_BESIDES_CHUNKS}
	 * bytes
	 */
	void requireWithinLimit() throws IOException {
		if (this.bytesBesidesChunks > MAXIMUM_BYTES_BESIDES_CHUNKS) {
			throw new IOException(
					"response has more than " + MAXIMUM_BYTES_BESIDES_CHUNKS + " bytes that belong to no chunk");
		}
	}

	/**
	 * Fails if a chunk did not begin with its size, or a trailer is no field.
	 * @throws IOException if the end of the body cannot be trusted
	 */
	void requireValid() throws IOException {
		if (!this.fault.isEmpty()) {
			throw new IOException(this.fault);
		}
	}

	/**
	 * Returns whether all chunks and trailers were received.
	 * @return {@code true} after the empty line behind the last chunk
	 */
	boolean isComplete() {
		return this.state == State.ENDED && this.fault.isEmpty();
	}

	private void skipChunkBytes(ByteBuffer bytes) {
		int count = (int) Math.min(this.remainingChunkBytes, bytes.remaining());
		bytes.position(bytes.position() + count);
		this.remainingChunkBytes -= count;
		this.bytesBesidesChunks = 0;
	}

	private void receiveLineByte(char next) {
		if (next == '\n') {
			String complete = this.line.toString();
			this.line.setLength(0);
			onLine(complete.endsWith("\r") ? complete.substring(0, complete.length() - 1) : complete);
		}
		else if (this.line.length() < MAXIMUM_KEPT_CHARACTERS) {
			this.line.append(next);
			checkSizeCharacter(next);
		}
	}

	// The client may take the line for the last chunk before the line has ended.
	private void checkSizeCharacter(char next) {
		boolean extension = this.line.indexOf(";") >= 0;
		boolean sizeExpected = this.state == State.CHUNK_SIZE && !extension;
		boolean strayByte = this.state == State.CHUNK_END && next != '\r';
		if (strayByte || (sizeExpected && !isSizeCharacter(next))) {
			end("response has \"" + this.line.toString().strip() + "\" where the size of a chunk is expected");
		}
	}

	private boolean isSizeCharacter(char next) {
		boolean first = this.line.length() == 1;
		return Character.digit(next, HEXADECIMAL) >= 0 || (!first && Character.isWhitespace(next));
	}

	private void onLine(String text) {
		switch (this.state) {
			case CHUNK_SIZE -> onChunkSize(text);
			case CHUNK_END -> {
				this.state = State.CHUNK_SIZE;
			}
			case TRAILERS -> onTrailer(text);
			default -> throw new IllegalStateException("line after the end of the response: " + text);
		}
	}

	private void onChunkSize(String text) {
		String digits = text.split("[;\\s]", 2)[0];
		if (digits.isEmpty() || digits.length() > MAXIMUM_SIZE_DIGITS) {
			end("chunk of the response has the size \"" + digits + "\"");
			return;
		}
		this.remainingChunkBytes = Long.parseLong(digits, HEXADECIMAL);
		this.state = (this.remainingChunkBytes > 0) ? State.CHUNK_END : State.TRAILERS;
	}

	private void onTrailer(String text) {
		if (text.isEmpty()) {
			this.state = State.ENDED;
		}
		else if (FieldLine.parse(text).isEmpty()) {
			end("line \"" + text + "\" after the last chunk is no field");
		}
	}

	private void end(String description) {
		this.fault = description;
		this.state = State.ENDED;
	}

	/**
	 * Part of the response that the next byte belongs to. The bytes of a chunk precede
	 * {@code CHUNK_END}.
	 */
	private enum State {

		CHUNK_SIZE, CHUNK_END, TRAILERS, ENDED

	}

}
