package org.skylarkspring.core.config;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;

/**
 * A JSON value with its line and path in the document.
 *
 * @param line line of the value, starting at 1
 * @param path path of the value, such as {@code $.pools[0]}
 * @param members members of an object by name, {@code null} for other values
 * @param items elements of an array, {@code null} for other values
 * @param text text of a string, number or boolean, {@code null} for other values
 * @param isNumber whether the value is a JSON number
 */
record LocatedJsonValue(int line, String path, Map<String, LocatedJsonValue> members, List<LocatedJsonValue> items,
		String text, boolean isNumber) {

	private static final Pattern LINE_NUMBER_PATTERN = Pattern.compile("at line (\\d+)");

	/**
	 * Parses a JSON document.
	 * @param document text of the document
	 * @return the root value
	 * @throws IOException if the text is malformed JSON; the message contains the line
	 */
	static LocatedJsonValue parse(String document) throws IOException {
		try (JsonReader reader = new JsonReader(new StringReader(document))) {
			reader.setStrictness(Strictness.STRICT);
			LocatedJsonValue root = read(reader);
			if (reader.peek() != JsonToken.END_DOCUMENT) {
				throw new IOException("unexpected text after the end of the document" + " at line "
						+ parseLineNumber(reader.toString()));
			}
			return root;
		}
		catch (IllegalStateException ex) {
			throw new IOException(ex.getMessage(), ex);
		}
	}

	/**
	 * Returns the line number contained in a message of the JSON reader.
	 * @param message the message
	 * @return the line, 0 if the message contains none
	 */
	static int parseLineNumber(String message) {
		Matcher matcher = LINE_NUMBER_PATTERN.matcher(message);
		return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
	}

	boolean isObject() {
		return this.members != null;
	}

	boolean isArray() {
		return this.items != null;
	}

	private static LocatedJsonValue read(JsonReader reader) throws IOException {
		JsonToken token = reader.peek();
		int line = parseLineNumber(reader.toString());
		String path = reader.getPath();
		return switch (token) {
			case BEGIN_OBJECT -> new LocatedJsonValue(line, path, readMembers(reader), null, null, false);
			case BEGIN_ARRAY -> new LocatedJsonValue(line, path, null, readItems(reader), null, false);
			case NUMBER -> new LocatedJsonValue(line, path, null, null, reader.nextString(), true);
			case STRING -> new LocatedJsonValue(line, path, null, null, reader.nextString(), false);
			case BOOLEAN -> new LocatedJsonValue(line, path, null, null, String.valueOf(reader.nextBoolean()), false);
			default -> throw new IOException("expected a value at line " + line + " path " + path);
		};
	}

	private static Map<String, LocatedJsonValue> readMembers(JsonReader reader) throws IOException {
		Map<String, LocatedJsonValue> members = new LinkedHashMap<>();
		reader.beginObject();
		while (reader.hasNext()) {
			String name = reader.nextName();
			LocatedJsonValue value = read(reader);
			if (members.put(name, value) != null) {
				throw new IOException("duplicate field '" + name + "' at line " + value.line());
			}
		}
		reader.endObject();
		return members;
	}

	private static List<LocatedJsonValue> readItems(JsonReader reader) throws IOException {
		List<LocatedJsonValue> items = new ArrayList<>();
		reader.beginArray();
		while (reader.hasNext()) {
			items.add(read(reader));
		}
		reader.endArray();
		return items;
	}

}
