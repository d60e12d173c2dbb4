package org.skylarkspring.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into the data of each event. Other fields and
 * comments are skipped. Memory is bounded by the longest line allowed.
 */
public final class SseParser {

	private static final String DATA = "data:";

	private static final int MAXIMUM_LINE_BYTES = 256 * 1024;

	private final Consumer<String> output;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);

	private final StringBuilder data = new StringBuilder();

	/**
	 * Creates a parser.
	 * @param output receives the data of each event, not {@code null}
	 */
	public SseParser(Consumer<String> output) {
		this.output = output;
	}

	/**
	 * Takes the next part of the stream.
	 * @param chunk the part, read to its end
	 * @throws IllegalStateException if a line is too long
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
		if (this.line.size() >= MAXIMUM_LINE_BYTES) {
			throw new IllegalStateException("a line is longer than " + MAXIMUM_LINE_BYTES + " bytes");
		}
		this.line.write(next);
	}

	private void endLine() {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (text.isEmpty()) {
			endEvent();
		}
		else if (text.startsWith(DATA)) {
			this.data.append(text.substring(DATA.length()).strip());
		}
	}

	private void endEvent() {
		if (!this.data.isEmpty()) {
			String event = this.data.toString();
			this.data.setLength(0);
			this.output.accept(event);
		}
	}

}
