package org.skylarkspring.core.internal;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;

import org.skylarkspring.core.model.RecordedAnswer;
import org.skylarkspring.core.model.RefusalCode;
import org.skylarkspring.core.model.StoreAnswer;
import org.skylarkspring.core.model.StoredObject.Claim;
import org.skylarkspring.core.model.StoredObject.ClaimState;

/**
 * Makes keyed requests run at most once. The claim is created conditionally before the
 * request is queued and outlives the instance. A repeat finds it and gets the recorded
 * answer or is told that the request may have run.
 */
final class ClaimSystem {

	/** Lost answers in a row after which a claim is given up. */
	private static final int MAXIMUM_LOST_ANSWERS = 3;

	/** Tries to record an answer or to release a claim. */
	private static final int MAXIMUM_SETTLE_TRIES = 100;

	private static final long SETTLE_RETRY_MILLIS = 500;

	private static final long CLOCK_TOLERANCE_MILLIS = 300_000;

	private static final long HOUR_MILLIS = 3_600_000;

	private final CoreContext context;

	private final DelayedTasks delayed;

	ClaimSystem(CoreContext context, DelayedTasks delayed) {
		this.context = context;
		this.delayed = delayed;
	}

	/**
	 * Checks the key of a request without the store.
	 * @param request the request
	 * @return the reason to refuse, empty if the key is sound
	 */
	Optional<RefusalCode> checkKey(RequestEntry request) {
		Optional<String> key = request.spec.idempotencyKey();
		if (key.isEmpty()) {
			return Optional.of(RefusalCode.KEY_REQUIRED);
		}
		Optional<Long> issuedAt = IdempotencyKeys.issuedAtEpochMillis(key.get());
		long now = request.spec.receivedAtEpochMillis();
		if (issuedAt.isEmpty() || issuedAt.get() > now + CLOCK_TOLERANCE_MILLIS) {
			return Optional.of(RefusalCode.KEY_MALFORMED);
		}
		boolean expired = issuedAt.get() + request.service.keyRetentionMillis() < now;
		return expired ? Optional.of(RefusalCode.KEY_EXPIRED) : Optional.empty();
	}

	/**
	 * Claims the key of a request.
	 * @param request the request, its key sound
	 * @param continuation receives the result once the store has settled it
	 */
	void claim(RequestEntry request, Consumer<ClaimResult> continuation) {
		String attempt = this.context.instanceId + "/" + request.requestId + "/" + this.context.random.nextLong();
		Claim started = new Claim(attempt, request.spec.bodyDigest(), ClaimState.STARTED, null);
		ClaimEntry claim = new ClaimEntry(objectName(request), started);
		request.claim = claim;
		write(claim, 0, continuation);
	}

	/**
	 * Records the answer of a request that has run.
	 * @param claim the claim
	 * @param answer the answer
	 */
	void record(ClaimEntry claim, RecordedAnswer answer) {
		Claim finished = new Claim(claim.started.attempt(), claim.started.bodyDigest(), ClaimState.FINISHED, answer);
		settle(claim, finished, 0);
	}

	/**
	 * Gives up the claim of a request that has not run.
	 * @param claim the claim
	 */
	void release(ClaimEntry claim) {
		Claim released = new Claim(claim.started.attempt(), claim.started.bodyDigest(), ClaimState.RELEASED, null);
		settle(claim, released, 0);
	}

	private void write(ClaimEntry claim, long expectedVersion, Consumer<ClaimResult> continuation) {
		this.context.store.write(claim.key, expectedVersion, claim.started, (answer) -> {
			if (answer instanceof StoreAnswer.Written written) {
				claim.version = written.version();
				continuation.accept(new ClaimResult.Granted());
			}
			else if (answer instanceof StoreAnswer.Found found && found.value() instanceof Claim current) {
				compare(claim, found.version(), current, continuation);
			}
			else if (answer instanceof StoreAnswer.Lost && claim.lostAnswers < MAXIMUM_LOST_ANSWERS) {
				claim.lostAnswers++;
				write(claim, expectedVersion, continuation);
			}
			else {
				boolean unknown = claim.lostAnswers > 0 || answer instanceof StoreAnswer.Lost;
				continuation.accept(new ClaimResult.Unreachable(unknown));
			}
		});
	}

	private void compare(ClaimEntry claim, long version, Claim current, Consumer<ClaimResult> continuation) {
		if (current.attempt().equals(claim.started.attempt())) {
			claim.version = version;
			continuation.accept(new ClaimResult.Granted());
		}
		else if (!current.bodyDigest().equals(claim.started.bodyDigest())) {
			continuation.accept(new ClaimResult.OtherBody());
		}
		else if (current.state() == ClaimState.FINISHED) {
			continuation.accept(new ClaimResult.Finished(current.answer()));
		}
		else if (current.state() == ClaimState.RELEASED) {
			write(claim, version, continuation);
		}
		else {
			continuation.accept(new ClaimResult.Started());
		}
	}

	// Writes the final state until the store confirms it or holds another attempt.
	private void settle(ClaimEntry claim, Claim last, int tries) {
		this.context.store.write(claim.key, claim.version, last, (answer) -> {
			if (answer instanceof StoreAnswer.Written) {
				return;
			}
			if (answer instanceof StoreAnswer.Found found && found.value() instanceof Claim current) {
				if (!current.equals(claim.started)) {
					return;
				}
				claim.version = found.version();
			}
			if (tries < MAXIMUM_SETTLE_TRIES) {
				this.context.count("claim_settle_retries");
				this.delayed.after(SETTLE_RETRY_MILLIS, () -> settle(claim, last, tries + 1));
			}
		});
	}

	private String objectName(RequestEntry request) {
		String key = request.spec.idempotencyKey().orElseThrow();
		long hour = IdempotencyKeys.issuedAtEpochMillis(key).orElseThrow() / HOUR_MILLIS;
		return "claims/" + hour + "/" + request.workspace.name() + "/" + request.service.name() + "/"
				+ key.toLowerCase(Locale.ROOT);
	}

	/**
	 * Result of claiming a key.
	 */
	sealed interface ClaimResult {

		/** The request may run. */
		record Granted() implements ClaimResult {
		}

		/** Another request with this key may be running or may have run. */
		record Started() implements ClaimResult {
		}

		/** The key was used with another body. */
		record OtherBody() implements ClaimResult {
		}

		/**
		 * The request has run.
		 *
		 * @param answer its answer
		 */
		record Finished(RecordedAnswer answer) implements ClaimResult {
		}

		/**
		 * The store was not reached.
		 *
		 * @param claimed whether the claim may have been written
		 */
		record Unreachable(boolean claimed) implements ClaimResult {
		}

	}

}
