package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.Set;

import org.skylarkspring.gateway.model.GenerationResumePoint;

/**
 * State of the migration of a generation from a terminating server to another one.
 */
final class GenerationMigration {

	final Set<String> rejectedTargetIds = new HashSet<>();

	final ServerAttempt source;

	final long startedMillis;

	/** Time at which the target was asked to continue the generation. */
	long askedMillis;

	ServerEntry target;

	/** Point from which the target resumes the generation, {@code null} until known. */
	GenerationResumePoint resumePoint;

	/** Identifier of the last completed copy, {@code null} for none. */
	String copyHandle;

	Stage stage = Stage.WAITING;

	/** Number of targets that failed to continue the generation. */
	int failedResumes;

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
		releaseReservation();
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

	/** Ends the migration, unless the target already continues the generation. */
	void abort() {
		releaseReservation();
		if (this.stage != Stage.RESUMED) {
			this.stage = Stage.ABORTED;
		}
	}

	boolean isInProgress() {
		return this.stage != Stage.RESUMED && this.stage != Stage.ABORTED;
	}

	/**
	 * Progress of a migration.
	 */
	enum Stage {

		/** No copy is in progress. */
		WAITING,

		/** The KV cache is copied while the generation continues on the source. */
		COPYING,

		/** The target is being connected, so that it can be asked without delay. */
		CONNECTING,

		/** The target was asked to continue the generation while the source runs. */
		ASKED,

		/** The source has failed and has to stop before the target is asked. */
		STOPPING,

		/** The target continues the generation. */
		RESUMED,

		/** The source has ended before the generation could be migrated. */
		ABORTED

	}

}
