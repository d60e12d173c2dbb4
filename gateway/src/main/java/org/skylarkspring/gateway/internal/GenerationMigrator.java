package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.GenerationResumePoint;
import org.skylarkspring.gateway.model.MigrationResult;

/**
 * Migrates running generations to other servers without interrupting the response, when
 * their server terminates or has failed. A generation continues from its backup if it has
 * one, otherwise from a copy of its KV cache that is made while it runs. The source is
 * stopped only when the target was asked and has had time to refuse.
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
	 * Time after which the source is stopped if the target has not refused. The target
	 * has to generate again what the source sends meanwhile, so that a longer overlap
	 * lengthens the pause.
	 */
	private static final long MAXIMUM_OVERLAP_MILLIS = 10;

	/**
	 * Number of targets that may fail to continue a generation before it is left on its
	 * source.
	 */
	private static final int MAXIMUM_FAILED_RESUMES = 3;

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
		boolean inProgress = request.migration != null && request.migration.isInProgress();
		if (!isMigratable(request) || request.finished || request.attempt != attempt || inProgress) {
			return;
		}
		request.migration = new GenerationMigration(attempt, this.context.scheduler.nowMillis());
		tryUseBackup(attempt).ifPresentOrElse((backup) -> resumeOn(request, backup, backupResumePoint(request, backup)),
				() -> selectTargetAndCopy(request));
	}

	private static boolean isMigratable(ActiveRequest request) {
		return request.route.semantics().isStreaming()
				&& request.service.engine().map(EngineSpec::supportsMigration).orElse(false);
	}

	// Before its first event a generation may still wait at the source, and has no
	// backup. Takes a permit if the server of the backup is cold.
	private Optional<ServerEntry> tryUseBackup(ServerAttempt attempt) {
		return Optional.ofNullable(attempt.backup)
			.filter((backup) -> attempt.relayedEvents > 0)
			.filter((backup) -> this.serverSelector.tryUseSelected(attempt.activeRequest.service, backup));
	}

	private static GenerationResumePoint backupResumePoint(ActiveRequest request, ServerEntry backup) {
		return new GenerationResumePoint(backup.registration.address(), request.id(),
				request.eventOrder.lastDeliveredId());
	}

	private void selectTargetAndCopy(ActiveRequest request) {
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
			this.context.scheduler.schedule(NO_TARGET_RETRY_DELAY_MILLIS, () -> selectTargetAndCopy(request));
			return;
		}
		migration.reserveTokens(target.get(), request.reservedTokens);
		migration.stage = GenerationMigration.Stage.COPYING;
		long startedMillis = this.context.scheduler.nowMillis();
		this.context.client.sendAsync(migration.source.server.registration.address(),
				this.context.serverProtocol.buildMigrationRequest(request.id(),
						migration.target.registration.address()),
				COPY_TIMEOUT_MILLIS, (result) -> onCopyResult(request, migration, result, startedMillis));
	}

	private void onCopyResult(ActiveRequest request, GenerationMigration migration, HttpTextResult response,
			long startedMillis) {
		MigrationResult result = this.context.serverProtocol.decodeMigrationResult(response);
		this.context.log.logRequest(request.id(), "KV cache copy finished",
				Map.of("result", String.valueOf(result), "source", migration.source.server.registration.id(), "target",
						migration.target.registration.id(), "millis",
						this.context.scheduler.nowMillis() - startedMillis));
		if (request.finished || request.attempt != migration.source) {
			migration.stage = GenerationMigration.Stage.ABORTED;
			migration.releaseReservation();
			return;
		}
		if (result instanceof MigrationResult.Copied copied) {
			migration.copyHandle = copied.handle();
			resumeOn(request, migration.target,
					new GenerationResumePoint(migration.source.server.registration.address(), copied.handle(),
							request.eventOrder.lastDeliveredId()));
			return;
		}
		migration.releaseReservation();
		migration.stage = GenerationMigration.Stage.WAITING;
		// The engine does not know a generation that it has not started.
		boolean notStarted = result instanceof MigrationResult.Unknown;
		if (!notStarted) {
			migration.rejectedTargetIds.add(migration.target.registration.id());
		}
		this.context.scheduler.schedule(notStarted ? NOT_STARTED_RETRY_DELAY_MILLIS : COPY_RETRY_DELAY_MILLIS,
				() -> selectTargetAndCopy(request));
	}

	private void resumeOn(ActiveRequest request, ServerEntry target, GenerationResumePoint resumePoint) {
		GenerationMigration migration = request.migration;
		migration.releaseReservation();
		migration.target = target;
		migration.stage = GenerationMigration.Stage.RESUMING;
		this.dispatcher.sendSuccessor(request, target, resumePoint);
	}

	/**
	 * Limits the time for which source and target may both run the generation, starting
	 * when the request is sent to the target.
	 * @param successor the attempt on the target
	 */
	void onSuccessorSent(ServerAttempt successor) {
		this.context.scheduler.schedule(MAXIMUM_OVERLAP_MILLIS, () -> {
			if (successor.isSuccessor() && !successor.activeRequest.finished) {
				replaceSource(successor.activeRequest, "overlap limit reached");
			}
		});
	}

	/**
	 * Replaces the source by the server that continues a generation, which has sent its
	 * first event.
	 * @param successor the attempt on that server
	 */
	void onSuccessorStarted(ServerAttempt successor) {
		replaceSource(successor.activeRequest, "target continues");
	}

	/**
	 * Handles the failure of the server that was to continue a generation, while the
	 * source still runs.
	 * @param successor the failed attempt on that server
	 */
	void onSuccessorFailed(ServerAttempt successor) {
		ActiveRequest request = successor.activeRequest;
		GenerationMigration migration = request.migration;
		migration.copyHandle = null;
		migration.failedResumes++;
		if (migration.failedResumes >= MAXIMUM_FAILED_RESUMES) {
			migration.stage = GenerationMigration.Stage.ABORTED;
			return;
		}
		migration.rejectedTargetIds.add(successor.server.registration.id());
		migration.stage = GenerationMigration.Stage.WAITING;
		selectTargetAndCopy(request);
	}

	private void replaceSource(ActiveRequest request, String reason) {
		ServerAttempt successor = request.successor;
		this.activeRequests.cancelAttempt(request.attempt);
		promoteSuccessor(request, successor, reason);
	}

	private void promoteSuccessor(ActiveRequest request, ServerAttempt successor, String reason) {
		long now = this.context.scheduler.nowMillis();
		GenerationMigration migration = request.migration;
		migration.stage = GenerationMigration.Stage.RESUMED;
		request.successor = null;
		request.attempt = successor;
		this.context.log.logRequest(request.id(), "generation resumed on target",
				Map.of("source", migration.source.server.registration.id(), "target",
						successor.server.registration.id(), "reason", reason, "last-event",
						request.eventOrder.lastDeliveredId().orElse(""), "millis-since-notice",
						now - migration.startedMillis, "millis-since-event",
						(request.lastEventMillis < 0) ? -1 : now - request.lastEventMillis));
		this.context.metrics.recordDecision("generation carried over");
		if (!successor.server.acceptsRequests()) {
			startMigration(successor);
		}
	}

	/**
	 * Takes over a generation whose attempt has failed, if another server can continue
	 * it.
	 * @param attempt the failed attempt
	 * @return {@code true} if the generation continues
	 */
	boolean takeOverFailedSource(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		if (request.successor != null) {
			promoteSuccessor(request, request.successor, "source ended");
			return true;
		}
		Optional<ServerEntry> backup = isMigratable(request) ? tryUseBackup(attempt) : Optional.empty();
		if (backup.isEmpty()) {
			return false;
		}
		request.migration = new GenerationMigration(attempt, this.context.scheduler.nowMillis());
		request.migration.target = backup.get();
		request.migration.stage = GenerationMigration.Stage.RESUMED;
		this.context.metrics.recordDecision("generation continued from backup");
		this.dispatcher.send(request, backup.get(), Optional.of(backupResumePoint(request, backup.get())));
		return true;
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
		if (migration.copyHandle != null && migration.stage != GenerationMigration.Stage.RESUMED) {
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
