package org.skylarkspring.gateway.internal;

import java.nio.ByteBuffer;

/**
 * Skips empty lines before each request on a connection (RFC 9112, section 2.2), which
 * the HTTP server refuses, and records the target of the request as received, because the
 * HTTP server does not keep question marks at the start of a query. Looks only at the
 * bytes up to the end of the target; the HTTP server checks whether the head is valid.
 */
final class RequestLineScanner {

	/** Maximum number of empty lines before a request; further ones are refused. */
	private static final int MAXIMUM_EMPTY_LINES = 8;

	private Part part = Part.EMPTY_LINES;

	private int emptyLines;

	/** Whether the first of the two bytes of an empty line has been skipped. */
	private boolean insideEmptyLine;

	private StringBuilder target = new StringBuilder();

	/** Expects that the next byte received starts a request or an empty line. */
	void expectRequest() {
		this.part = Part.EMPTY_LINES;
		this.emptyLines = 0;
		this.insideEmptyLine = false;
		this.target = new StringBuilder();
	}

	/**
	 * Scans bytes received. Has no effect on those after the target of the request.
	 * @param received the bytes, of which only empty lines at the start are consumed
	 */
	void scan(ByteBuffer received) {
		while (this.part == Part.EMPTY_LINES && received.hasRemaining()) {
			skipByteOfEmptyLine(received);
		}
		ByteBuffer rest = received.duplicate();
		while (this.part != Part.REST && rest.hasRemaining()) {
			scan((char) (rest.get() & 0xFF));
		}
	}

	private void skipByteOfEmptyLine(ByteBuffer received) {
		int position = received.position();
		byte next = received.get(position);
		if (this.insideEmptyLine && next == '\n') {
			this.insideEmptyLine = false;
			this.emptyLines++;
			received.position(position + 1);
		}
		else if (this.insideEmptyLine) {
			// The HTTP server refuses a request that begins with this byte.
			received.put(position, (byte) '\r');
			this.part = Part.METHOD;
		}
		else if (next == '\r' && this.emptyLines < MAXIMUM_EMPTY_LINES) {
			this.insideEmptyLine = true;
			received.position(position + 1);
		}
		else {
			this.part = Part.METHOD;
		}
	}

	private void scan(char next) {
		boolean separator = next == ' ' || next == '\t';
		if (next == '\r' || next == '\n') {
			this.part = Part.REST;
		}
		else if (this.part == Part.METHOD) {
			this.part = separator ? Part.SEPARATOR : Part.METHOD;
		}
		else if (!separator) {
			this.part = Part.TARGET;
			this.target.append(next);
		}
		else if (this.part == Part.TARGET) {
			this.part = Part.REST;
		}
	}

	/**
	 * Returns the target of the request whose head has been received.
	 * @return the target, empty if the request line has none
	 */
	String target() {
		return this.target.toString();
	}

	/**
	 * Part of a request that the next byte belongs to.
	 */
	private enum Part {

		EMPTY_LINES, METHOD, SEPARATOR, TARGET, REST

	}

}
