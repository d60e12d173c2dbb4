package org.skylarkspring.gateway.model;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the gateway needs to know of the head of a request.
 *
 * @param requestId the caller's id of this attempt
 * @param deadlineMillis how long the caller waits, empty if it did not say
 * @param apiKey the caller's key
 * @param generationSize size of the generation asked for
 */
public record RequestHead(String requestId, OptionalLong deadlineMillis, Optional<String> apiKey,
		Optional<GenerationSize> generationSize) {
}
