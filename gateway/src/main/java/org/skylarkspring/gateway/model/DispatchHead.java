package org.skylarkspring.gateway.model;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Information that the gateway adds to the headers of a request when it dispatches the
 * request to a server.
 *
 * @param expectedServerId id of the server the request is meant for; a different server
 * at the same address rejects the request
 * @param remainingMillis time left until the caller's deadline, in milliseconds
 * @param workspace workspace of the caller, empty if it has none
 * @param enginePriority priority within a model engine, empty for the engine's default
 * @param resumePoint point from which the generation resumes, empty for a new one
 * @param resumeAfterEventId id of the event after which a resumable stream resumes, empty
 * to start at the beginning
 * @param backupAddress address of the server that receives a backup of the KV cache while
 * the generation runs, empty for none
 */
public record DispatchHead(String expectedServerId, long remainingMillis, Optional<String> workspace,
		OptionalInt enginePriority, Optional<GenerationResumePoint> resumePoint, Optional<String> resumeAfterEventId,
		Optional<String> backupAddress) {

	/**
	 * Returns the same head for a generation that resumes from another point.
	 * @param newResumePoint point from which the generation resumes
	 * @param newRemainingMillis time left until the caller's deadline, in milliseconds
	 * @return the new head
	 */
	public DispatchHead resumingFrom(GenerationResumePoint newResumePoint, long newRemainingMillis) {
		return new DispatchHead(this.expectedServerId, newRemainingMillis, this.workspace, this.enginePriority,
				Optional.of(newResumePoint), this.resumeAfterEventId, this.backupAddress);
	}

}
