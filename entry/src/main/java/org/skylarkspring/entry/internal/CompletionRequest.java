package org.skylarkspring.entry.internal;

import com.google.gson.annotations.SerializedName;

/**
 * Body of a completions call, as callers' client libraries send it.
 *
 * @param model name of the service
 * @param prompt the prompt
 * @param maxTokens limit of the answer, {@code null} for none
 * @param stream whether the answer is streamed, {@code null} for no
 * @param promptCacheKey key of the prompt's reusable prefix, {@code null} for none
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
