package org.skylarkspring.gateway.policy;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Complete server-sent event.
 *
 * @param bytes the event as received, including the empty line at its end
 * @param id id of the event, empty if it has none
 */
public record SseEvent(byte[] bytes, Optional<String> id) {

	/** Size of a chunk, of which a server sends no field without a value. */
	private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-f]+");

	/**
	 * Returns whether all lines are fields or comments. The names of fields are in
	 * lowercase, unlike the status line and the headers of a response that a faulty
	 * server writes into its stream, and are no sizes of chunks, which remain in a stream
	 * whose transfer encoding was lost.
	 * @return {@code false} if a line does not belong to a stream of events
	 */
	public boolean hasOnlyFields() {
		return new String(this.bytes, StandardCharsets.ISO_8859_1).lines().allMatch(SseEvent::isFieldOrComment);
	}

	private static boolean isFieldOrComment(String line) {
		int colon = line.indexOf(':');
		String name = (colon >= 0) ? line.substring(0, colon) : line;
		return name.chars().allMatch(SseEvent::isNameCharacter) && !CHUNK_SIZE.matcher(line).matches();
	}

	private static boolean isNameCharacter(int character) {
		boolean letter = character >= 'a' && character <= 'z';
		boolean digit = character >= '0' && character <= '9';
		return letter || digit || character == '-' || character == '_';
	}

}
