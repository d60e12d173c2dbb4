package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.gateway.model.GenerationResumePoint;

/**
 * State of the migration of a generation from a terminating server to another one.
 */
final class GenerationMigration {

	final Set<String> rejectedTargetIds = new HashSet<>();

	ServerAttempt source;

	ServerEntry target;

	String copyHandle;

	Stage stage = Stage.WAITING;

	boolean sourceEnded;

	boolean hasCopy;

	long startedMillis;

	/** KV cache memory reserved on the target for the generation. */
	private long reservedTokens;

	GenerationMigration(ServerAttempt source, long nowMillis) {
		this.source = source;
		this.startedMillis = nowMillis;
	}

	/**
	 * Sets the target and reserves memory on it.
	 * @param entry the target
	 * @param tokens amount of KV cache memory to reserve, in tokens
	 */
	void reserveTokens(ServerEntry entry, long tokens) {
		this.target = entry;
		this.reservedTokens = tokens;
		entry.reservedTokens += tokens;
	}

	/** Releases the memory reserved on the target. */
	void releaseReservation() {
		if (this.target != null) {
			this.target.reservedTokens -= this.reservedTokens;
			this.reservedTokens = 0;
		}
	}

	Optional<GenerationResumePoint> resumePoint(Optional<String> lastEventId) {
		return Optional.ofNullable(this.copyHandle)
			.map((handle) -> new GenerationResumePoint(this.source.server.registration.address(), handle, lastEventId));
	}

	/**
	 * Progress of a migration.
	 */
	enum Stage {

		/** No copy is in progress. */
		WAITING,

		/** The KV cache is copied while the generation continues on the source. */
		PRE_COPY,

		/** The generation is stopped and the rest of its KV cache is copied. */
		STOP_AND_COPY,

		/** The generation resumes on the target, or will once its source has ended. */
		RESUMED,

		/** The migration has failed or its source has ended; it is not retried. */
		ABORTED

	}

}
