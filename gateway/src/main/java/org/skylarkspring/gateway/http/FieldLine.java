package org.skylarkspring.gateway.http;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Field line of an HTTP message (RFC 9112, section 5). A line that continues the value of
 * the line before it is none, because it may be a field whose beginning is spoilt.
 *
 * @param name name of the field in lowercase
 * @param value value without the whitespace around it
 */
record FieldLine(String name, String value) {

	private static final Pattern SYNTAX = Pattern
		.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]++):([\\t\\x20-\\x7e\\x80-\\xff]*+)");

	/**
	 * Parses a line.
	 * @param text the line without its end, a character for each byte
	 * @return the field, empty if the line is none
	 */
	static Optional<FieldLine> parse(CharSequence text) {
		Matcher matcher = SYNTAX.matcher(text);
		return matcher.matches()
				? Optional.of(new FieldLine(matcher.group(1).toLowerCase(Locale.ROOT), matcher.group(2).strip()))
				: Optional.empty();
	}

}
