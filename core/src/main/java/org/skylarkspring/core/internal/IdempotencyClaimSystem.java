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
 * Ensures that requests with an idempotency key run at most once. A claim on the key is
 * written to the store conditionally before the request is queued, and outlives the
 * instance. A repeated request receives the recorded response or an error stating that
 * the request may have run.
 */
final class IdempotencyClaimSystem {

	/** Lost store responses that are retried before the acquisition of a claim fails. */
	private static final int MAXIMUM_LOST_RESPONSES = 3;

	/** Retries of the write that records a response or releases a claim. */
	private static final int MAXIMUM_FINAL_WRITE_RETRIES = 100;

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
	 * Validates the idempotency key of a request without accessing the store.
	 * @param request the request
	 * @return the reason for rejection, empty if the key is valid
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
	 * Writes a claim on the idempotency key of a request to the store.
	 * @param request the request, with a valid key
	 * @param callback receives the result after the store has responded
	 */
	void acquire(RequestEntry request, Consumer<ClaimResult> callback) {
		String attempt = this.context.instanceId + "/" + request.requestId + "/" + this.context.random.nextLong();
		IdempotencyRecord started = new IdempotencyRecord(attempt, request.spec.bodyDigest(), IdempotencyState.STARTED,
				null);
		IdempotencyClaimEntry claim = new IdempotencyClaimEntry(objectKey(request), started);
		request.claim = claim;
		write(claim, 0, callback);
	}

	/**
	 * Records the response of a request that has run.
	 * @param claim the claim
	 * @param response the response to replay to repeated requests
	 */
	void recordResponse(IdempotencyClaimEntry claim, RecordedResponse response) {
		IdempotencyRecord finished = new IdempotencyRecord(claim.initialRecord.attempt(),
				claim.initialRecord.bodyDigest(), IdempotencyState.FINISHED, response);
		writeFinalState(claim, finished, 0);
	}

	/**
	 * Releases the claim of a request that has not run, so that a repeated request may
	 * run.
	 * @param claim the claim
	 */
	void release(IdempotencyClaimEntry claim) {
		IdempotencyRecord released = new IdempotencyRecord(claim.initialRecord.attempt(),
				claim.initialRecord.bodyDigest(), IdempotencyState.RELEASED, null);
		writeFinalState(claim, released, 0);
	}

	private void write(IdempotencyClaimEntry claim, long expectedVersion, Consumer<ClaimResult> callback) {
		this.context.storeOperations.write(claim.objectKey, expectedVersion, claim.initialRecord, (response) -> {
			if (response instanceof StoreResponse.Written written) {
				claim.version = written.version();
				callback.accept(new ClaimResult.Granted());
			}
			else if (response instanceof StoreResponse.Found found
					&& found.value() instanceof IdempotencyRecord current) {
				resolveConflict(claim, found.version(), current, callback);
			}
			else if (response instanceof StoreResponse.ResponseLost && claim.lostResponses < MAXIMUM_LOST_RESPONSES) {
				claim.lostResponses++;
				write(claim, expectedVersion, callback);
			}
			else {
				boolean mayHaveBeenWritten = claim.lostResponses > 0 || response instanceof StoreResponse.ResponseLost;
				callback.accept(new ClaimResult.StoreUnavailable(mayHaveBeenWritten));
			}
		});
	}

	private void resolveConflict(IdempotencyClaimEntry claim, long version, IdempotencyRecord current,
			Consumer<ClaimResult> callback) {
		if (current.attempt().equals(claim.initialRecord.attempt())) {
			claim.version = version;
			callback.accept(new ClaimResult.Granted());
		}
		else if (!current.bodyDigest().equals(claim.initialRecord.bodyDigest())) {
			callback.accept(new ClaimResult.BodyMismatch());
		}
		else if (current.state() == IdempotencyState.FINISHED) {
			callback.accept(new ClaimResult.AlreadyFinished(current.answer()));
		}
		else if (current.state() == IdempotencyState.RELEASED) {
			write(claim, version, callback);
		}
		else {
			callback.accept(new ClaimResult.InProgress());
		}
	}

	// Retries until the store confirms the write or no longer holds the initial record.
	private void writeFinalState(IdempotencyClaimEntry claim, IdempotencyRecord finalRecord, int retries) {
		this.context.storeOperations.write(claim.objectKey, claim.version, finalRecord, (response) -> {
			if (response instanceof StoreResponse.Written) {
				return;
			}
			if (response instanceof StoreResponse.Found found && found.value() instanceof IdempotencyRecord current) {
				if (!current.equals(claim.initialRecord)) {
					return;
				}
				claim.version = found.version();
			}
			if (retries < MAXIMUM_FINAL_WRITE_RETRIES) {
				this.context.incrementCounter("claim_settle_retries");
				this.delayedTasks.schedule(FINAL_WRITE_RETRY_MILLIS,
						() -> writeFinalState(claim, finalRecord, retries + 1));
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
	 * Result of acquiring a claim.
	 */
	sealed interface ClaimResult {

		/** The claim was acquired and the request may run. */
		record Granted() implements ClaimResult {
		}

		/** Another request with this key may be running or may have run. */
		record InProgress() implements ClaimResult {
		}

		/** The key was used with a different request body. */
		record BodyMismatch() implements ClaimResult {
		}

		/**
		 * The request has already run.
		 *
		 * @param response the recorded response
		 */
		record AlreadyFinished(RecordedResponse response) implements ClaimResult {
		}

		/**
		 * The store did not respond or rejected the operation.
		 *
		 * @param mayHaveBeenWritten whether the claim may have been written despite the
		 * failure
		 */
		record StoreUnavailable(boolean mayHaveBeenWritten) implements ClaimResult {
		}

	}

}
