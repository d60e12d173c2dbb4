package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.gateway.model.GenerationResumePoint;

/**
 * What a generation can still be continued from if the server that was asked to continue
 * it refuses after its source was stopped.
 */
final class ResumeFallback {

	final ServerEntry source;

	final ServerEntry target;

	/** Point that the target was asked to resume from. A refusal does not use it up. */
	final GenerationResumePoint resumePoint;

	/** Attempt that was asked last. */
	ServerAttempt asked;

	/** What is known of the source, {@code null} while that is open. */
	GenerationStopper.Outcome sourceOutcome;

	/** Whether the attempt that was asked last has refused. */
	boolean refused;

	int refusals;

	/** Handle of the KV cache that the stopped source kept, {@code null} for none. */
	String keptHandle;

	/** Whether the generation was to return to its source. */
	boolean sourceTried;

	ResumeFallback(ServerEntry source, ServerAttempt asked, GenerationResumePoint resumePoint) {
		this.source = source;
		this.target = asked.server;
		this.asked = asked;
		this.resumePoint = resumePoint;
	}

	boolean isSourceStopped() {
		return this.sourceOutcome instanceof GenerationStopper.Outcome.Stopped;
	}

	/**
	 * Returns the handle of the KV cache that the stopped source kept, if the generation
	 * was not to return to it yet.
	 * @return the handle, empty for none
	 */
	Optional<String> untriedHandle() {
		return Optional.ofNullable(this.keptHandle).filter((handle) -> !this.sourceTried);
	}

	/**
	 * Returns the handles of the source that no server has used.
	 * @return the handles
	 */
	Set<String> unusedHandles() {
		Set<String> handles = new HashSet<>();
		Optional.ofNullable(this.keptHandle).ifPresent(handles::add);
		boolean copied = this.resumePoint.sourceAddress().equals(this.source.registration.address());
		if (copied && this.refused) {
			handles.add(this.resumePoint.cacheCopyId());
		}
		else {
			handles.remove(this.resumePoint.cacheCopyId());
		}
		return handles;
	}

}
