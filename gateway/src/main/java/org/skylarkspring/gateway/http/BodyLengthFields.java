package org.skylarkspring.gateway.http;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Fields of a response head that state the length of the body. One of them may be
 * present, once and with a value that leaves no doubt (RFC 9112, section 6.3).
 */
final class BodyLengthFields {

	private static final String CONTENT_LENGTH = "content-length";

	private static final String TRANSFER_ENCODING = "transfer-encoding";

	/** The only transfer coding that a client accepts unless it says otherwise. */
	private static final String CHUNKED = "chunked";

	/** More digits would exceed the range of a number, and no body is that long. */
	private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	private static final Pattern ZERO = Pattern.compile("0+");

	/** The field that states the length, {@code null} until one is added. */
	private FieldLine field;

	/**
	 * Adds a field of the head, which has no effect unless it states a length.
	 * @param added the field
	 * @return why the length is not known, empty if there is no fault
	 */
	Optional<String> add(FieldLine added) {
		boolean length = added.name().equals(CONTENT_LENGTH);
		boolean encoding = added.name().equals(TRANSFER_ENCODING);
		if (!length && !encoding) {
			return Optional.empty();
		}
		if (isPresent()) {
			return Optional.of("both \"" + describe(this.field) + "\" and \"" + describe(added) + "\"");
		}
		this.field = added;
		boolean valid = length ? LENGTH.matcher(added.value()).matches() : added.value().equalsIgnoreCase(CHUNKED);
		return valid ? Optional.empty() : Optional.of("invalid \"" + describe(added) + "\"");
	}

	/**
	 * Returns whether a field states the length.
	 * @return {@code false} if the body ends with its connection
	 */
	boolean isPresent() {
		return this.field != null;
	}

	/**
	 * Returns whether the body is sent in chunks.
	 * @return {@code false} also if no field states the length
	 */
	boolean isChunked() {
		return isPresent() && this.field.name().equals(TRANSFER_ENCODING);
	}

	/**
	 * Returns whether there is a body according to the fields.
	 * @return {@code false} if no field states the length, or if it is zero
	 */
	boolean isBodyAnnounced() {
		return isPresent() && !ZERO.matcher(this.field.value()).matches();
	}

	private static String describe(FieldLine line) {
		return line.name() + ": " + line.value();
	}

}
