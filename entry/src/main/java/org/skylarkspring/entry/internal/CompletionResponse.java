package org.skylarkspring.entry.internal;

import java.util.List;
import java.util.Map;

import com.google.gson.annotations.SerializedName;

/**
 * Body of an answer or of one piece of it, as callers' client libraries read it.
 *
 * @param id name of the answer
 * @param object kind of the object
 * @param model name of the service
 * @param choices the only choice
 * @param usage token counts, {@code null} in pieces
 */
record CompletionResponse(String id, String object, String model, List<Choice> choices, Map<String, Integer> usage) {

	private static final String OBJECT_TYPE = "text_completion";

	static CompletionResponse partial(String id, String model, String text) {
		return new CompletionResponse(id, OBJECT_TYPE, model, List.of(new Choice(0, text, null)), null);
	}

	static CompletionResponse complete(String id, String model, String text, int tokens) {
		return new CompletionResponse(id, OBJECT_TYPE, model, List.of(new Choice(0, text, "stop")),
				Map.of("completion_tokens", tokens));
	}

	/**
	 * One choice of an answer.
	 *
	 * @param index number of the choice
	 * @param text the text
	 * @param finishReason why the text ended, {@code null} in pieces
	 */
	record Choice(int index, String text, @SerializedName("finish_reason") String finishReason) {
	}

}
