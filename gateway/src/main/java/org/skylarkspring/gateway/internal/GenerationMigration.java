package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.gateway.model.GenerationResumePoint;
import org.skylarkspring.gateway.model.StopResult;

/**
 * State of the migration of a generation from a terminating server to another one.
 */
final class GenerationMigration {

	final Set<String> rejectedTargetIds = new HashSet<>();

	final ServerAttempt source;

	/**
	 * Time of the notice of the source. A generation that has returned to its source
	 * keeps the time of the first migration.
	 */
	final long noticeMillis;

	/** Release of the generation by its source, {@code null} until it is ordered. */
	GenerationRelease release;

	/** Time at which the source was ordered to release the generation. */
	long releaseStartedMillis;

	ServerEntry target;

	/** Point from which the target resumes the generation, {@code null} until known. */
	GenerationResumePoint resumePoint;

	/** Identifier of the last completed copy, {@code null} for none. */
	String copyHandle;

	/**
	 * What the source answered to the order to stop, {@code null} until known.
	 */
	StopResult.Stopped finalAnswer;

	/** Whether the source has stopped as ordered and kept the KV cache. */
	boolean stoppedByOrder;

	/** Whether the target was asked with the copy that the source made last. */
	boolean finalCopyTried;

	/** Whether the source, and not the target, has not taken the generation last. */
	boolean refusedBySource;

	/** Number of times that the source has not taken the generation back. */
	int sourceRefusals;

	/** Number of times that the generation was not taken, also before it returned. */
	int refusals;

	/** How the generation goes on after the target has not taken it. */
	Fallback fallback = Fallback.NONE;

	Stage stage = Stage.WAITING;

	/** Number of targets that failed to continue the generation. */
	int failedResumes;

	/** KV cache memory reserved on the target for the generation. */
	private long reservedTokens;

	GenerationMigration(ServerAttempt source, long nowMillis) {
		this.source = source;
		Optional<GenerationMigration> former = findFormer(source);
		this.noticeMillis = former.map((migration) -> migration.noticeMillis).orElse(nowMillis);
		former.ifPresent(this::continueFrom);
	}

	// The migration after which the generation has returned to its source.
	private static Optional<GenerationMigration> findFormer(ServerAttempt source) {
		return Optional.ofNullable(source.origin).filter((origin) -> origin.source.server == source.server);
	}

	private void continueFrom(GenerationMigration former) {
		this.refusals = former.refusals;
		this.rejectedTargetIds.addAll(former.rejectedTargetIds);
		this.rejectedTargetIds.add(former.target.registration.id());
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

	/**
	 * Records an event of the source, which therefore still runs the generation.
	 * @param attempt the attempt that received the event
	 */
	void recordEvent(ServerAttempt attempt) {
		if (this.stage == Stage.RELEASING && attempt == this.source) {
			this.release.onEvent();
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

		/** The target is connected, and is asked once the source has stopped. */
		RELEASING,

		/** The target continues the generation. */
		RESUMED,

		/** The source has ended before the generation could be migrated. */
		ABORTED

	}

	/**
	 * How a generation goes on after the target has not taken it.
	 */
	enum Fallback {

		/** The target has taken it, or was not asked yet. */
		NONE,

		/** The source has not answered the order yet, so that its copy is unknown. */
		WAITING,

		/** The target was asked again. */
		TARGET,

		/** The target or the source is asked again after a delay. */
		DELAYED,

		/** The generation has returned to its source. */
		SOURCE

	}

}
