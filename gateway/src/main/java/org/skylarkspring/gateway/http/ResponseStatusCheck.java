package org.skylarkspring.gateway.http;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the statuses of a response on the bytes of its connection: each is a number of
 * three digits from 100 to 599. The HTTP client converts any integer, such as 999, -1 or
 * +200, and does not say which text it could not convert.
 */
final class ResponseStatusCheck {

	/** Number of characters of a line that are kept; a longer status is invalid. */
	private static final int MAXIMUM_KEPT_CHARACTERS = 100;

	/** The status is complete when a character follows it. */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\S*[ \\t]+(\\S+)\\s.*", Pattern.DOTALL);

	private static final Pattern VALID_STATUS = Pattern.compile("[1-5][0-9][0-9]");

	private static final String CONTINUE = "100";

	private final StringBuilder line = new StringBuilder();

	private State state = State.STATUS_LINE;

	private boolean interim;

	private Optional<String> fault = Optional.empty();

	/**
	 * Receives bytes of the connection.
	 * @param bytes the bytes, in the order of the connection
	 */
	void receive(ByteBuffer bytes) {
		while (bytes.hasRemaining() && this.state != State.ENDED) {
			receive((char) (bytes.get() & 0xff));
		}
	}

	/**
	 * Returns why the response is invalid.
	 * @return description that names the status, empty as long as there is no fault
	 */
	Optional<String> fault() {
		return this.fault;
	}

	private void receive(char next) {
		if (this.line.length() < MAXIMUM_KEPT_CHARACTERS || next == '\n') {
			this.line.append(next);
		}
		if (this.state == State.STATUS_LINE && Character.isWhitespace(next)) {
			checkStatus();
		}
		if (next == '\n') {
			onLineEnd();
			this.line.setLength(0);
		}
	}

	private void checkStatus() {
		Matcher matcher = STATUS_LINE.matcher(this.line);
		if (!matcher.matches()) {
			return;
		}
		String status = matcher.group(1);
		this.interim = status.equals(CONTINUE);
		if (!VALID_STATUS.matcher(status).matches()) {
			this.fault = Optional.of("invalid status \"" + status + "\"");
			this.state = State.ENDED;
		}
	}

	private void onLineEnd() {
		boolean emptyLine = this.line.toString().isBlank();
		if (this.state == State.HEADERS && emptyLine) {
			this.state = this.interim ? State.STATUS_LINE : State.ENDED;
		}
		else if (this.state == State.STATUS_LINE && !emptyLine) {
			this.state = State.HEADERS;
		}
	}

	/**
	 * Part of the response that the next byte belongs to.
	 */
	private enum State {

		STATUS_LINE, HEADERS, ENDED

	}

}
