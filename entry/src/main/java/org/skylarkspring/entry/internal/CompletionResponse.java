package org.skylarkspring.entry.internal;

import java.util.List;
import java.util.Map;

import com.google.gson.annotations.SerializedName;

/**
 * Body of a completion response or of one event of a streamed response, in the format
 * that callers' client libraries expect.
 *
 * @param id identifier of the completion, the same in all events of a stream
 * @param object object type, always {@code text_completion}
 * @param model name of the service
 * @param choices list with exactly one choice
 * @param usage token counts by name, {@code null} in events of a stream
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
	 * One choice of a completion response.
	 *
	 * @param index index of the choice, always 0
	 * @param text generated text, in an event of a stream the text of one token
	 * @param finishReason why the generation ended, {@code null} in events of a stream
	 */
	record Choice(int index, String text, @SerializedName("finish_reason") String finishReason) {
	}

}
