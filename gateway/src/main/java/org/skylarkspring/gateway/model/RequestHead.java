package org.skylarkspring.gateway.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Information that the gateway takes from the headers of a request.
 *
 * @param requestId the caller's id of this attempt
 * @param deadlineMillis time the caller waits, in milliseconds, empty if not stated
 * @param apiKey the caller's API key, empty if it sent none
 * @param generationSize size of the requested generation, empty if not stated
 * @param promptPartIds ids of the parts of the prompt in order, the last of which belongs
 * to this request or its session alone; empty if not stated
 */
public record RequestHead(String requestId, OptionalLong deadlineMillis, Optional<String> apiKey,
		Optional<GenerationSize> generationSize, List<String> promptPartIds) {

	/**
	 * Returns the parts of the prompt that other requests may contain as well.
	 * @return ids of all parts but the last
	 */
	public List<String> sharedPromptPartIds() {
		return this.promptPartIds.isEmpty() ? List.of() : this.promptPartIds.subList(0, this.promptPartIds.size() - 1);
	}

}
