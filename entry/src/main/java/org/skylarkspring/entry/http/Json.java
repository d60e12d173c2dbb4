package org.skylarkspring.entry.http;

import java.util.Optional;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;

/**
 * Reads and writes JSON messages.
 */
public final class Json {

	private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

	private Json() {
	}

	/**
	 * Writes a value.
	 * @param value the value, not {@code null}
	 * @return the text
	 */
	public static String write(Object value) {
		return GSON.toJson(value);
	}

	/**
	 * Reads a value.
	 * @param text the text
	 * @param type type of the value
	 * @param <T> type of the value
	 * @return the value, empty if the text is not well-formed or of another shape
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
