package org.skylarkspring.gateway.http;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the heads of a response on the bytes of its connection: each status is a number
 * of three digits from 100 to 599, each line after it is a field, and the length of the
 * body is stated without doubt. The HTTP client converts any integer to a status, uses
 * the first of several lengths, ignores transfer encodings that it does not know and
 * appends a line that begins with a blank to the field before it, so that other bytes
 * would be taken for the body of the server.
 */
final class HeadSyntaxCheck {

	/** Number of characters of a line that the description of a fault contains. */
	private static final int MAXIMUM_DESCRIBED_CHARACTERS = 100;

	/** A status that begins later in its line is checked at the end of the line. */
	private static final int MAXIMUM_CHARACTERS_TO_STATUS = 100;

	private static final String LINE_END = "\r\n";

	/** The status is complete when a character follows it. */
	private static final Pattern STATUS_LINE = Pattern.compile("(HTTP/\\S*)[ \\t]+(\\S+)\\s.*", Pattern.DOTALL);

	private static final Pattern VALID_VERSION = Pattern.compile("HTTP/1\\.[0-9]");

	/** Version without transfer encodings. */
	private static final String FIRST_VERSION = "HTTP/1.0";

	private static final Pattern VALID_STATUS = Pattern.compile("[1-5][0-9][0-9]");

	private static final String CONTINUE = "100";

	private static final String NO_CONTENT = "204";

	private final StringBuilder line = new StringBuilder();

	private State state = State.STATUS_LINE;

	private String version = "";

	private String status = "";

	private BodyLengthFields bodyLength = new BodyLengthFields();

	private Optional<String> fault = Optional.empty();

	/**
	 * Receives bytes of the connection, up to the end of the head of the response.
	 * @param bytes the bytes, in the order of the connection
	 */
	void receive(ByteBuffer bytes) {
		while (bytes.hasRemaining() && this.state != State.ENDED) {
			receive((char) (bytes.get() & 0xff));
		}
	}

	/**
	 * Returns why the response is invalid.
	 * @return description that names the status or line, empty as long as there is no
	 * fault
	 */
	Optional<String> fault() {
		return this.fault;
	}

	/**
	 * Returns whether the body of the response is sent in chunks.
	 * @return {@code false} also before the end of the head
	 */
	boolean isBodyChunked() {
		return this.state == State.ENDED && this.bodyLength.isChunked();
	}

	/**
	 * Returns whether the body of the response ends with its connection.
	 * @return {@code false} also before the end of the head
	 */
	boolean isBodyWithoutLength() {
		return this.state == State.ENDED && !this.bodyLength.isPresent();
	}

	private void receive(char next) {
		this.line.append(next);
		if (this.state == State.STATUS_LINE && mayEndStatus(next)) {
			checkStatus();
		}
		if (next == '\n' && this.state != State.ENDED) {
			onLine(this.line.toString());
			this.line.setLength(0);
		}
	}

	private boolean mayEndStatus(char next) {
		boolean early = this.status.isEmpty() && this.line.length() <= MAXIMUM_CHARACTERS_TO_STATUS;
		return (next == '\n') || (early && Character.isWhitespace(next));
	}

	private void checkStatus() {
		Matcher matcher = STATUS_LINE.matcher(this.line);
		if (!matcher.matches()) {
			return;
		}
		this.version = matcher.group(1);
		this.status = matcher.group(2);
		if (!VALID_STATUS.matcher(this.status).matches()) {
			fail("invalid status \"" + excerpt(this.status) + "\"");
		}
		else if (!VALID_VERSION.matcher(this.version).matches()) {
			fail("unsupported version \"" + excerpt(this.version) + "\"");
		}
	}

	private void onLine(String text) {
		if (this.state == State.STATUS_LINE) {
			onStatusLine(text);
		}
		else if (text.equals(LINE_END)) {
			onHeadEnd();
		}
		else {
			onFieldLine(text);
		}
	}

	// A line that is no status line at all is rejected by the client.
	private void onStatusLine(String text) {
		if (!text.isBlank()) {
			this.state = this.status.isEmpty() ? State.ENDED : State.FIELDS;
		}
	}

	private void onFieldLine(String text) {
		Optional<FieldLine> field = text.endsWith(LINE_END)
				? FieldLine.parse(text.substring(0, text.length() - LINE_END.length())) : Optional.empty();
		field.map(this.bodyLength::add)
			.orElseGet(() -> Optional.of("line \"" + excerpt(text) + "\" of the head is no field"))
			.ifPresent(this::fail);
	}

	private void onHeadEnd() {
		if (this.bodyLength.isChunked() && this.version.equals(FIRST_VERSION)) {
			fail("transfer encoding in a response of version " + FIRST_VERSION);
		}
		else if (this.bodyLength.isBodyAnnounced() && this.status.equals(NO_CONTENT)) {
			fail("body announced beside the status " + NO_CONTENT);
		}
		else if (this.status.equals(CONTINUE)) {
			startNextHead();
		}
		else {
			this.state = State.ENDED;
		}
	}

	private void startNextHead() {
		this.state = State.STATUS_LINE;
		this.status = "";
		this.bodyLength = new BodyLengthFields();
	}

	private void fail(String description) {
		this.fault = Optional.of(description);
		this.state = State.ENDED;
	}

	private static String excerpt(String text) {
		String stripped = text.strip();
		return stripped.substring(0, Math.min(stripped.length(), MAXIMUM_DESCRIBED_CHARACTERS));
	}

	/**
	 * Part of the response that the next byte belongs to.
	 */
	private enum State {

		STATUS_LINE, FIELDS, ENDED

	}

}
