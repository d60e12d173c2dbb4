package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.gateway.model.GenerationResumePoint;

/**
 * Row of a generation that is being carried from a leaving server to another one.
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

	/** Memory counted at the target for the generation. */
	private long reservedTokens;

	GenerationMigration(ServerAttempt source, long nowMillis) {
		this.source = source;
		this.startedMillis = nowMillis;
	}

	/**
	 * Counts memory at a new target.
	 * @param entry the target
	 * @param tokens the memory
	 */
	void reserveTokens(ServerEntry entry, long tokens) {
		this.target = entry;
		this.reservedTokens = tokens;
		entry.reservedTokens += tokens;
	}

	/** Counts memory at the target no longer. */
	void releaseReservation() {
		if (this.target != null) {
			this.target.reservedTokens -= this.reservedTokens;
			this.reservedTokens = 0;
		}
	}

	Optional<GenerationResumePoint> continuation(Optional<String> lastEventId) {
		return Optional.ofNullable(this.copyHandle)
			.map((name) -> new GenerationResumePoint(this.source.server.registration.address(), name, lastEventId));
	}

	/**
	 * How far a carry-over has come.
	 */
	enum Stage {

		/** No copy is under way. */
		WAITING,

		/** The memory is copied while the generation runs on. */
		PRE_COPY,

		/** The generation is stopped and the rest of its memory copied. */
		STOP_AND_COPY,

		/** The generation goes on at the target. */
		RESUMED,

		/** Nothing more can be done. */
		ABORTED

	}

}
