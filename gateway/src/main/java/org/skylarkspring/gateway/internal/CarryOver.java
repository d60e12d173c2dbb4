package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.gateway.model.Continuation;

/**
 * Row of a generation that is being carried from a leaving server to another one.
 */
final class CarryOver {

	final Set<String> refusedBy = new HashSet<>();

	ServerAttempt source;

	ServerEntry target;

	String handle;

	Stage stage = Stage.WAITING;

	boolean sourceEnded;

	boolean copied;

	long startedMillis;

	/** Memory counted at the target for the generation. */
	private long reservedTokens;

	CarryOver(ServerAttempt source, long nowMillis) {
		this.source = source;
		this.startedMillis = nowMillis;
	}

	/**
	 * Counts memory at a new target.
	 * @param entry the target
	 * @param tokens the memory
	 */
	void reserve(ServerEntry entry, long tokens) {
		this.target = entry;
		this.reservedTokens = tokens;
		entry.promisedTokens += tokens;
	}

	/** Counts memory at the target no longer. */
	void release() {
		if (this.target != null) {
			this.target.promisedTokens -= this.reservedTokens;
			this.reservedTokens = 0;
		}
	}

	Optional<Continuation> continuation(Optional<String> lastEventId) {
		return Optional.ofNullable(this.handle)
			.map((name) -> new Continuation(this.source.entry.listing.address(), name, lastEventId));
	}

	/**
	 * How far a carry-over has come.
	 */
	enum Stage {

		/** No copy is under way. */
		WAITING,

		/** The memory is copied while the generation runs on. */
		COPYING,

		/** The generation is stopped and the rest of its memory copied. */
		STOPPING,

		/** The generation goes on at the target. */
		CONTINUED,

		/** Nothing more can be done. */
		GIVEN_UP

	}

}
