package org.skylarkspring.core.internal;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;

import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.RecordedResponse;
import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject.IdempotencyRecord;
import org.skylarkspring.core.model.StoredObject.IdempotencyState;

/**
 * Makes keyed requests run at most once. The claim is created conditionally before the
 * request is queued and outlives the instance. A repeat finds it and gets the recorded
 * answer or is told that the request may have run.
 */
final class IdempotencyClaimSystem {

	/** Lost answers in a row after which a claim is given up. */
	private static final int MAXIMUM_LOST_RESPONSES = 3;

	/** Tries to record an answer or to release a claim. */
	private static final int MAXIMUM_FINAL_WRITE_ATTEMPTS = 100;

	private static final long FINAL_WRITE_RETRY_MILLIS = 500;

	private static final long CLOCK_SKEW_TOLERANCE_MILLIS = 300_000;

	private static final long HOUR_MILLIS = 3_600_000;

	private final CoreContext context;

	private final DelayedTaskQueue delayedTasks;

	IdempotencyClaimSystem(CoreContext context, DelayedTaskQueue delayedTasks) {
		this.context = context;
		this.delayedTasks = delayedTasks;
	}

	/**
	 * Checks the key of a request without the store.
	 * @param request the request
	 * @return the reason to refuse, empty if the key is sound
	 */
	Optional<ErrorCode> validateKey(RequestEntry request) {
		Optional<String> key = request.spec.idempotencyKey();
		if (key.isEmpty()) {
			return Optional.of(ErrorCode.KEY_REQUIRED);
		}
		Optional<Long> issuedAt = IdempotencyKeys.issuedAtEpochMillis(key.get());
		long now = request.spec.receivedAtEpochMillis();
		if (issuedAt.isEmpty() || issuedAt.get() > now + CLOCK_SKEW_TOLERANCE_MILLIS) {
			return Optional.of(ErrorCode.KEY_MALFORMED);
		}
		boolean expired = issuedAt.get() + request.service.keyRetentionMillis() < now;
		return expired ? Optional.of(ErrorCode.KEY_EXPIRED) : Optional.empty();
	}

	/**
	 * Claims the key of a request.
	 * @param request the request, its key sound
	 * @param continuation receives the result once the store has settled it
	 */
	void acquire(RequestEntry request, Consumer<ClaimResult> continuation) {
		String attempt = this.context.instanceId + "/" + request.requestId + "/" + this.context.random.nextLong();
		IdempotencyRecord started = new IdempotencyRecord(attempt, request.spec.bodyDigest(), IdempotencyState.STARTED,
				null);
		IdempotencyClaimEntry claim = new IdempotencyClaimEntry(objectKey(request), started);
		request.claim = claim;
		write(claim, 0, continuation);
	}

	/**
	 * Records the answer of a request that has run.
	 * @param claim the claim
	 * @param answer the answer
	 */
	void recordResponse(IdempotencyClaimEntry claim, RecordedResponse answer) {
		IdempotencyRecord finished = new IdempotencyRecord(claim.initialRecord.attempt(),
				claim.initialRecord.bodyDigest(), IdempotencyState.FINISHED, answer);
		writeFinalState(claim, finished, 0);
	}

	/**
	 * Gives up the claim of a request that has not run.
	 * @param claim the claim
	 */
	void release(IdempotencyClaimEntry claim) {
		IdempotencyRecord released = new IdempotencyRecord(claim.initialRecord.attempt(),
				claim.initialRecord.bodyDigest(), IdempotencyState.RELEASED, null);
		writeFinalState(claim, released, 0);
	}

	private void write(IdempotencyClaimEntry claim, long expectedVersion, Consumer<ClaimResult> continuation) {
		this.context.storeOperations.write(claim.objectKey, expectedVersion, claim.initialRecord, (answer) -> {
			if (answer instanceof StoreResponse.Written written) {
				claim.version = written.version();
				continuation.accept(new ClaimResult.Granted());
			}
			else if (answer instanceof StoreResponse.Found found
					&& found.value() instanceof IdempotencyRecord current) {
				resolveConflict(claim, found.version(), current, continuation);
			}
			else if (answer instanceof StoreResponse.ResponseLost && claim.lostResponses < MAXIMUM_LOST_RESPONSES) {
				claim.lostResponses++;
				write(claim, expectedVersion, continuation);
			}
			else {
				boolean unknown = claim.lostResponses > 0 || answer instanceof StoreResponse.ResponseLost;
				continuation.accept(new ClaimResult.StoreUnavailable(unknown));
			}
		});
	}

	private void resolveConflict(IdempotencyClaimEntry claim, long version, IdempotencyRecord current,
			Consumer<ClaimResult> continuation) {
		if (current.attempt().equals(claim.initialRecord.attempt())) {
			claim.version = version;
			continuation.accept(new ClaimResult.Granted());
		}
		else if (!current.bodyDigest().equals(claim.initialRecord.bodyDigest())) {
			continuation.accept(new ClaimResult.BodyMismatch());
		}
		else if (current.state() == IdempotencyState.FINISHED) {
			continuation.accept(new ClaimResult.AlreadyFinished(current.answer()));
		}
		else if (current.state() == IdempotencyState.RELEASED) {
			write(claim, version, continuation);
		}
		else {
			continuation.accept(new ClaimResult.InProgress());
		}
	}

	// Writes the final state until the store confirms it or holds another attempt.
	private void writeFinalState(IdempotencyClaimEntry claim, IdempotencyRecord last, int tries) {
		this.context.storeOperations.write(claim.objectKey, claim.version, last, (answer) -> {
			if (answer instanceof StoreResponse.Written) {
				return;
			}
			if (answer instanceof StoreResponse.Found found && found.value() instanceof IdempotencyRecord current) {
				if (!current.equals(claim.initialRecord)) {
					return;
				}
				claim.version = found.version();
			}
			if (tries < MAXIMUM_FINAL_WRITE_ATTEMPTS) {
				this.context.incrementCounter("claim_settle_retries");
				this.delayedTasks.schedule(FINAL_WRITE_RETRY_MILLIS, () -> writeFinalState(claim, last, tries + 1));
			}
		});
	}

	private String objectKey(RequestEntry request) {
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
		record InProgress() implements ClaimResult {
		}

		/** The key was used with another body. */
		record BodyMismatch() implements ClaimResult {
		}

		/**
		 * The request has run.
		 *
		 * @param response its answer
		 */
		record AlreadyFinished(RecordedResponse response) implements ClaimResult {
		}

		/**
		 * The store was not reached.
		 *
		 * @param mayHaveBeenWritten whether the claim may have been written
		 */
		record StoreUnavailable(boolean mayHaveBeenWritten) implements ClaimResult {
		}

	}

}
