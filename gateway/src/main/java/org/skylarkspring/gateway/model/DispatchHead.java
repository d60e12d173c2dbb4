package org.skylarkspring.gateway.model;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the gateway adds to the head of a request when it sends it to a server.
 *
 * @param expectedServerId the server meant; another server at the same address refuses
 * @param remainingMillis time left to the caller's deadline
 * @param workspace workspace of the caller
 * @param enginePriority rank inside a model engine, empty for the engine's default
 * @param resumePoint where the generation goes on from, empty for a new one
 * @param resumeAfterEventId event after which a resumable stream goes on
 */
public record DispatchHead(String expectedServerId, long remainingMillis, Optional<String> workspace,
		OptionalInt enginePriority, Optional<GenerationResumePoint> resumePoint, Optional<String> resumeAfterEventId) {
}
