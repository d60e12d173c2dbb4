package org.skylarkspring.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Incremental parser of a stream of server-sent events that extracts the data of each
 * event. Other fields and comments are ignored. Lines are limited to 256 KiB, which
 * bounds the memory for a line.
 */
public final class SseParser {

	private static final String DATA_FIELD_PREFIX = "data:";

	private static final int MAXIMUM_LINE_BYTES = 256 * 1024;

	private final Consumer<String> eventConsumer;

	private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream(256);

	private final StringBuilder dataBuffer = new StringBuilder();

	/**
	 * Creates a parser.
	 * @param eventConsumer receives the data of each event, not {@code null}
	 */
	public SseParser(Consumer<String> eventConsumer) {
		this.eventConsumer = eventConsumer;
	}

	/**
	 * Parses the next part of the stream.
	 * @param chunk the next bytes of the stream, all of which are consumed
	 * @throws IllegalStateException if a line exceeds the maximum length
	 */
	public void feed(ByteBuffer chunk) {
		while (chunk.hasRemaining()) {
			byte next = chunk.get();
			if (next == '\n') {
				endLine();
			}
			else if (next != '\r') {
				append(next);
			}
		}
	}

	private void append(byte next) {
		if (this.lineBuffer.size() >= MAXIMUM_LINE_BYTES) {
			throw new IllegalStateException("event stream line exceeds " + MAXIMUM_LINE_BYTES + " bytes");
		}
		this.lineBuffer.write(next);
	}

	private void endLine() {
		String line = this.lineBuffer.toString(StandardCharsets.UTF_8);
		this.lineBuffer.reset();
		if (line.isEmpty()) {
			emitEvent();
		}
		else if (line.startsWith(DATA_FIELD_PREFIX)) {
			this.dataBuffer.append(line.substring(DATA_FIELD_PREFIX.length()).strip());
		}
	}

	private void emitEvent() {
		if (!this.dataBuffer.isEmpty()) {
			String event = this.dataBuffer.toString();
			this.dataBuffer.setLength(0);
			this.eventConsumer.accept(event);
		}
	}

}
