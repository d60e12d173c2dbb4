package org.skylarkspring.entry.http;

import java.util.Optional;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;

/**
 * Converts messages to and from JSON.
 */
public final class Json {

	private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

	private Json() {
	}

	/**
	 * Converts a value to JSON.
	 * @param value the value, not {@code null}
	 * @return the JSON text
	 */
	public static String write(Object value) {
		return GSON.toJson(value);
	}

	/**
	 * Parses a value from JSON.
	 * @param text the JSON text
	 * @param type class of the value
	 * @param <T> type of the value
	 * @return the value, empty if the text is malformed or does not match the type
	 */
	public static <T> Optional<T> read(String text, Class<T> type) {
		try {
			return Optional.ofNullable(GSON.fromJson(text, type));
		}
		catch (JsonParseException | NumberFormatException ex) {
			return Optional.empty();
		}
	}

}
