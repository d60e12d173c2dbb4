package org.skylarkspring.gateway.policy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Splits a byte stream into complete server-sent events. An event ends with an empty
 * line; bytes after the last empty line are buffered until their event is complete.
 */
public final class SseEventSplitter {

	/** Maximum size of an event, so that a faulty server cannot exhaust the memory. */
	static final int MAXIMUM_EVENT_BYTES = 64 * 1024;

	private static final int INITIAL_BUFFER_BYTES = 1024;

	private static final int LARGEST_KEPT_BUFFER_BYTES = 16 * 1024;

	private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

	private int bufferedBytes;

	/** Number of buffered bytes that are known to contain no end of an event. */
	private int scannedBytes;

	/**
	 * Appends bytes of the stream.
	 * @param data the bytes, consumed unless the size limit is exceeded
	 * @param eventConsumer receives each complete event
	 * @return {@code false} if the buffered bytes and the data exceed the maximum size of
	 * an event
	 */
	public boolean accept(ByteBuffer data, Consumer<SseEvent> eventConsumer) {
		return accept(data, MAXIMUM_EVENT_BYTES, eventConsumer);
	}

	/**
	 * Appends bytes of the stream.
	 * @param data the bytes, consumed unless the size limit is exceeded
	 * @param maximumKeptBytes maximum number of bytes of an incomplete event that are
	 * kept, at most the maximum size of an event
	 * @param eventConsumer receives each complete event
	 * @return {@code false} if the bytes exceed the maximum size of an event, or those of
	 * an incomplete event the given one
	 */
	public boolean accept(ByteBuffer data, int maximumKeptBytes, Consumer<SseEvent> eventConsumer) {
		int count = data.remaining();
		if (this.bufferedBytes + count > MAXIMUM_EVENT_BYTES) {
			return false;
		}
		if (this.bufferedBytes + count > this.buffer.length) {
			this.buffer = Arrays.copyOf(this.buffer, Math.max(this.buffer.length * 2, this.bufferedBytes + count));
		}
		data.get(this.buffer, this.bufferedBytes, count);
		this.bufferedBytes += count;
		emitCompleteEvents(eventConsumer);
		return this.bufferedBytes <= maximumKeptBytes;
	}

	/**
	 * Returns whether the bytes received so far end inside an event.
	 * @return {@code false} if only line breaks follow the last complete event
	 */
	public boolean isInsideEvent() {
		return IntStream.range(0, this.bufferedBytes)
			.anyMatch((position) -> this.buffer[position] != '\n' && this.buffer[position] != '\r');
	}

	/**
	 * Returns the bytes received after the last complete event.
	 * @return the bytes, may be empty
	 */
	public byte[] bytesAfterLastEvent() {
		return Arrays.copyOf(this.buffer, this.bufferedBytes);
	}

	/**
	 * Returns the memory that the buffered bytes occupy.
	 * @return number of bytes
	 */
	public int capacity() {
		return this.buffer.length;
	}

	private void emitCompleteEvents(Consumer<SseEvent> eventConsumer) {
		int start = 0;
		int position = Math.max(1, this.scannedBytes);
		while (position < this.bufferedBytes) {
			if (isLineFeed(position) && (this.buffer[position - 1] == '\n' || isCrLfBlankLine(position, start))) {
				byte[] bytes = Arrays.copyOfRange(this.buffer, start, position + 1);
				eventConsumer.accept(new SseEvent(bytes, parseId(bytes)));
				start = position + 1;
				position = start;
			}
			position++;
		}
		System.arraycopy(this.buffer, start, this.buffer, 0, this.bufferedBytes - start);
		this.bufferedBytes -= start;
		this.scannedBytes = this.bufferedBytes;
		releaseLargeBuffer();
	}

	// One large event must not occupy memory until the end of its stream.
	private void releaseLargeBuffer() {
		if (this.bufferedBytes == 0 && this.buffer.length > LARGEST_KEPT_BUFFER_BYTES) {
			this.buffer = new byte[INITIAL_BUFFER_BYTES];
		}
	}

	private boolean isLineFeed(int position) {
		return this.buffer[position] == '\n';
	}

	private boolean isCrLfBlankLine(int position, int start) {
		return position - 2 >= start && this.buffer[position - 1] == '\r' && this.buffer[position - 2] == '\n';
	}

	private static Optional<String> parseId(byte[] event) {
		return new String(event, StandardCharsets.ISO_8859_1).lines()
			.filter((line) -> line.startsWith("id:"))
			.map((line) -> line.substring("id:".length()).trim())
			.findFirst();
	}

}
