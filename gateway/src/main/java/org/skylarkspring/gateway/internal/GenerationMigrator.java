package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.MigrationResult;

/**
 * Migrates running generations from terminating servers to others without interrupting
 * the response: the KV cache is copied while the generation runs, then the generation is
 * stopped, the rest is copied, and the target resumes after the last delivered event.
 */
final class GenerationMigrator {

	private static final long COPY_TIMEOUT_MILLIS = 3_000;

	/** Delay after a failed copy before another target is selected. */
	private static final long COPY_RETRY_DELAY_MILLIS = 20;

	/**
	 * Delay before the copy of a generation that the source has not started yet is
	 * retried.
	 */
	private static final long NOT_STARTED_RETRY_DELAY_MILLIS = 60;

	/**
	 * Delay before the search for a target is repeated after none was found. Targets that
	 * rejected the copy are then tried again. The source keeps running for more than ten
	 * of these delays.
	 */
	private static final long NO_TARGET_RETRY_DELAY_MILLIS = 100;

	/**
	 * Time within which the stream of a stopped source must end, well above a round trip.
	 * After it the source is cancelled.
	 */
	private static final long SOURCE_END_TIMEOUT_MILLIS = 60;

	/**
	 * Maximum share of the target event interval that the final copy may take. The rest
	 * is needed to send the request to the target and to receive its first event.
	 */
	private static final double FINAL_COPY_MAXIMUM_INTERVAL_FRACTION = 0.4;

	private final GatewayContext context;

	private final RequestDispatcher dispatcher;

	private final ActiveRequestRegistry activeRequests;

	private final ServerSelector serverSelector;

	GenerationMigrator(GatewayContext context, RequestDispatcher dispatcher, ActiveRequestRegistry activeRequests,
			ServerSelector serverSelector) {
		this.context = context;
		this.dispatcher = dispatcher;
		this.activeRequests = activeRequests;
		this.serverSelector = serverSelector;
	}

	/**
	 * Starts to migrate all generations that run on a terminating server.
	 * @param entry the server
	 */
	void migrateFromServer(ServerEntry entry) {
		List.copyOf(entry.attempts).forEach(this::startMigration);
	}

	/**
	 * Starts to migrate a generation, unless it cannot be migrated or is being migrated
	 * already.
	 * @param attempt the attempt that runs the generation
	 */
	void startMigration(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		boolean migratable = request.route.semantics().isStreaming()
				&& request.service.engine().map(EngineSpec::supportsMigration).orElse(false);
		if (!migratable || request.finished || request.attempt != attempt || isMigrating(request)) {
			return;
		}
		request.migration = new GenerationMigration(attempt, this.context.scheduler.nowMillis());
		startPreCopy(request);
	}

	private boolean isMigrating(ActiveRequest request) {
		return request.migration != null && request.migration.stage != GenerationMigration.Stage.RESUMED
				&& request.migration.stage != GenerationMigration.Stage.ABORTED;
	}

	private void startPreCopy(ActiveRequest request) {
		GenerationMigration migration = request.migration;
		if (request.finished || request.attempt != migration.source) {
			migration.stage = GenerationMigration.Stage.ABORTED;
			return;
		}
		Optional<ServerEntry> target = this.serverSelector.selectMigrationTarget(request.service,
				request.reservedTokens, migration.source.server, migration.rejectedTargetIds);
		if (target.isEmpty()) {
			// Capacity may become available while the source still runs, also on
			// servers that rejected the copy before.
			migration.rejectedTargetIds.clear();
			this.context.scheduler.schedule(NO_TARGET_RETRY_DELAY_MILLIS, () -> startPreCopy(request));
			return;
		}
		migration.reserveTokens(target.get(), request.reservedTokens);
		migration.stage = GenerationMigration.Stage.PRE_COPY;
		requestCopy(request, false);
	}

	private void requestCopy(ActiveRequest request, boolean finalCopy) {
		GenerationMigration migration = request.migration;
		long copyStartedMillis = this.context.scheduler.nowMillis();
		this.context.client.sendAsync(migration.source.server.registration.address(),
				this.context.serverProtocol.buildMigrationRequest(request.id(), migration.target.registration.address(),
						finalCopy),
				COPY_TIMEOUT_MILLIS,
				(result) -> onCopyResult(request, migration, finalCopy, result, copyStartedMillis));
	}

	private void onCopyResult(ActiveRequest request, GenerationMigration migration, boolean finalCopy,
			HttpTextResult response, long copyStartedMillis) {
		MigrationResult result = this.context.serverProtocol.decodeMigrationResult(response);
		this.context.log.logRequest(request.id(), finalCopy ? "final copy finished" : "memory copy finished",
				Map.of("result", String.valueOf(result), "source", migration.source.server.registration.id(), "target",
						migration.target.registration.id(), "millis",
						this.context.scheduler.nowMillis() - copyStartedMillis));
		if (request.finished || request.migration != migration
				|| migration.stage == GenerationMigration.Stage.RESUMED) {
			return;
		}
		if (result instanceof MigrationResult.Copied copied) {
			migration.copyHandle = copied.handle();
			migration.hasCopy = true;
			if (finalCopy) {
				migration.stage = GenerationMigration.Stage.RESUMED;
				resumeAfterSourceEnds(request);
			}
			else if (request.attempt == migration.source) {
				stopAndCopyOrResume(request, migration, this.context.scheduler.nowMillis() - copyStartedMillis);
			}
			return;
		}
		if (result instanceof MigrationResult.Unknown && request.attempt == migration.source) {
			// The engine has not started the request, so there is nothing to copy yet.
			migration.releaseReservation();
			migration.stage = GenerationMigration.Stage.WAITING;
			this.context.scheduler.schedule(NOT_STARTED_RETRY_DELAY_MILLIS, () -> startPreCopy(request));
			return;
		}
		if (migration.hasCopy) {
			resumeFromLastCopy(request, migration);
			return;
		}
		onCopyFailed(request, migration, finalCopy);
	}

	// Copies of other generations queue on the same link, so a fast copy indicates that
	// the final copy will be fast as well. If copies are queueing, the target resumes
	// from the copy it has and prefills the few tokens generated since then, because
	// another copy would wait behind the others.
	private void stopAndCopyOrResume(ActiveRequest request, GenerationMigration migration, long copyMillis) {
		long targetIntervalMillis = request.route.targetEventIntervalMillis();
		if (targetIntervalMillis == 0 || copyMillis <= FINAL_COPY_MAXIMUM_INTERVAL_FRACTION * targetIntervalMillis) {
			migration.stage = GenerationMigration.Stage.STOP_AND_COPY;
			requestCopy(request, true);
		}
		else {
			resumeWithoutFinalCopy(request, migration);
		}
	}

	// Cancels the source and resumes on the target without a final copy.
	private void resumeWithoutFinalCopy(ActiveRequest request, GenerationMigration migration) {
		if (request.finished || request.attempt != migration.source) {
			return;
		}
		migration.stage = GenerationMigration.Stage.RESUMED;
		migration.source.cancel();
		this.activeRequests.detachAttempt(migration.source);
		resumeOnTarget(request);
	}

	private void resumeFromLastCopy(ActiveRequest request, GenerationMigration migration) {
		if (migration.sourceEnded) {
			resumeOnTarget(request);
		}
		else {
			resumeWithoutFinalCopy(request, migration);
		}
	}

	private void onCopyFailed(ActiveRequest request, GenerationMigration migration, boolean finalCopy) {
		migration.releaseReservation();
		migration.rejectedTargetIds.add(migration.target.registration.id());
		if (finalCopy || request.attempt != migration.source) {
			migration.stage = GenerationMigration.Stage.ABORTED;
			if (migration.sourceEnded) {
				this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(),
						"generation stopped on the source, but its final copy failed");
			}
			return;
		}
		migration.stage = GenerationMigration.Stage.WAITING;
		this.context.scheduler.schedule(COPY_RETRY_DELAY_MILLIS, () -> startPreCopy(request));
	}

	private void resumeAfterSourceEnds(ActiveRequest request) {
		GenerationMigration migration = request.migration;
		if (migration.sourceEnded) {
			resumeOnTarget(request);
			return;
		}
		this.context.scheduler.schedule(SOURCE_END_TIMEOUT_MILLIS, () -> {
			if (!request.finished && request.attempt == migration.source) {
				migration.source.cancel();
				this.activeRequests.detachAttempt(migration.source);
				resumeOnTarget(request);
			}
		});
	}

	/**
	 * Takes over a request whose source attempt has failed if it can be resumed on the
	 * target.
	 * @param attempt the failed attempt
	 * @return {@code true} if the migration continues the request
	 */
	boolean takeOverEndedSource(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		GenerationMigration migration = request.migration;
		if (migration == null || migration.source != attempt || migration.stage == GenerationMigration.Stage.ABORTED
				|| migration.stage == GenerationMigration.Stage.WAITING) {
			return false;
		}
		migration.sourceEnded = true;
		if (migration.stage == GenerationMigration.Stage.RESUMED
				|| (migration.stage == GenerationMigration.Stage.PRE_COPY && migration.hasCopy)) {
			resumeOnTarget(request);
			return true;
		}
		return migration.stage == GenerationMigration.Stage.STOP_AND_COPY;
	}

	private void resumeOnTarget(ActiveRequest request) {
		GenerationMigration migration = request.migration;
		if (request.finished || request.attempt != null) {
			return;
		}
		migration.stage = GenerationMigration.Stage.RESUMED;
		migration.releaseReservation();
		this.context.log.logRequest(request.id(), "generation resumed on target", Map.of("source",
				migration.source.server.registration.id(), "target", migration.target.registration.id(), "last-event",
				request.eventOrder.lastDeliveredId().orElse(""), "millis-since-notice",
				this.context.scheduler.nowMillis() - migration.startedMillis, "millis-since-event",
				(request.lastEventMillis < 0) ? -1 : this.context.scheduler.nowMillis() - request.lastEventMillis));
		this.context.metrics.recordDecision("generation carried over");
		this.dispatcher.send(request, migration.target, migration.resumePoint(request.eventOrder.lastDeliveredId()));
	}

	/**
	 * Ends a request if its server refused to resume the generation. No other server can
	 * resume it, and restarting it would execute it twice, which is allowed only for
	 * retryable routes.
	 * @param attempt the attempt that was rejected
	 * @return {@code true} if the request has been ended
	 */
	boolean endIfResumeRejected(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		if (attempt.dispatchHead.resumePoint().isEmpty() || request.route.semantics().isRetryable()) {
			return false;
		}
		this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(),
				"server refused to resume the generation");
		return true;
	}

	/**
	 * Releases the reservation and the unused copy of a request that has ended.
	 * @param request the request
	 */
	void onRequestEnded(ActiveRequest request) {
		GenerationMigration migration = request.migration;
		if (migration == null) {
			return;
		}
		migration.releaseReservation();
		if (migration.hasCopy && migration.stage != GenerationMigration.Stage.RESUMED) {
			releaseCopy(migration);
		}
	}

	// An unused copy would occupy memory and a slot on the target.
	private void releaseCopy(GenerationMigration migration) {
		this.context.metrics.recordDecision("copy freed");
		this.context.client.sendAsync(migration.source.server.registration.address(),
				this.context.serverProtocol.buildReleaseRequest(migration.copyHandle), COPY_TIMEOUT_MILLIS,
				(result) -> this.context.log.logStateChange("copy freed",
						Map.of("target", migration.target.registration.id(), "result", String.valueOf(result))));
	}

}
