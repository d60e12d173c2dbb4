package org.skylarkspring.entry.internal;

import com.google.gson.annotations.SerializedName;

/**
 * Body of a completion request in the format that callers' client libraries send.
 *
 * @param model name of the service
 * @param prompt text of the prompt
 * @param maxTokens maximum number of generated tokens, {@code null} for the default
 * @param stream whether the response is streamed, {@code null} means {@code false}
 * @param promptCacheKey key that identifies the prompt's reusable prefix, {@code null}
 * for none
 */
record CompletionRequest(String model, String prompt, @SerializedName("max_tokens") Integer maxTokens, Boolean stream,
		@SerializedName("prompt_cache_key") String promptCacheKey) {

	boolean isWellFormed() {
		return this.model != null && this.prompt != null && (this.maxTokens == null || this.maxTokens > 0);
	}

	boolean isStreamed() {
		return Boolean.TRUE.equals(this.stream);
	}

}
