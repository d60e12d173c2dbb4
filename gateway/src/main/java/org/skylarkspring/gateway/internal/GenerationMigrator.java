package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.GenerationResumePoint;
import org.skylarkspring.gateway.model.MigrationResult;
import org.skylarkspring.gateway.placement.PlacementRequest;

/**
 * Migrates running generations to other servers without interrupting the response, when
 * their server terminates or has failed. A generation continues from its backup if it has
 * one, otherwise from a copy of its KV cache that is made while it runs.
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
	 * Number of targets that may fail to continue a generation before it is left on its
	 * source.
	 */
	private static final int MAXIMUM_FAILED_RESUMES = 3;

	private final GatewayContext context;

	private final RequestDispatcher dispatcher;

	private final ActiveRequestRegistry activeRequests;

	private final ServerSelector serverSelector;

	private final GenerationStopper stopper;

	private final KvCacheCopies copies;

	private final GenerationHandover handover;

	GenerationMigrator(GatewayContext context, RequestDispatcher dispatcher, ActiveRequestRegistry activeRequests,
			ServerSelector serverSelector) {
		this.context = context;
		this.dispatcher = dispatcher;
		this.activeRequests = activeRequests;
		this.serverSelector = serverSelector;
		this.copies = new KvCacheCopies(context);
		this.stopper = new GenerationStopper(context.scheduler, context.log, context.metrics, this::sendStopOrder,
				this.copies::release);
		this.handover = new GenerationHandover(context, dispatcher, activeRequests, this.stopper, this.copies,
				this::startMigration);
	}

	GenerationHandover handover() {
		return this.handover;
	}

	private void sendStopOrder(String requestId, ServerEntry source, ServerEntry next, long connectTimeoutMillis,
			long timeoutMillis, GenerationStopper.ResultConsumer onResult) {
		this.context.client.sendAsync(source.registration.address(),
				this.context.serverProtocol.buildStopRequest(requestId, next.registration.address()),
				connectTimeoutMillis, timeoutMillis,
				(response) -> onResult.accept(response, this.context.serverProtocol.decodeStopResult(response)));
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
		GenerationMigration migration = beginMigration(attempt);
		tryUseBackup(attempt).ifPresentOrElse((backup) -> connectBackup(request, migration, backup),
				() -> selectTargetAndCopy(request, migration));
	}

	private GenerationMigration beginMigration(ServerAttempt source) {
		GenerationMigration migration = new GenerationMigration(source, this.context.scheduler.nowMillis());
		source.activeRequest.migration = migration;
		return migration;
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
			.filter((backup) -> !attempt.activeRequest.stoppingServers.contains(backup.registration.id()))
			.filter((backup) -> this.serverSelector.tryUseSelected(toPlacementRequest(attempt.activeRequest), backup,
					attempt.server));
	}

	private void connectBackup(ActiveRequest request, GenerationMigration migration, ServerEntry backup) {
		this.handover.connect(request, migration, backup, new GenerationResumePoint(backup.registration.address(),
				request.id(), request.eventOrder.lastDeliveredId()));
	}

	// A timer or a copy of an earlier migration must not act on the current one.
	private static boolean isObsolete(ActiveRequest request, GenerationMigration migration) {
		return request.finished || request.migration != migration || request.attempt != migration.source;
	}

	private void selectTargetAndCopy(ActiveRequest request, GenerationMigration migration) {
		if (isObsolete(request, migration)) {
			migration.abort();
			return;
		}
		Optional<ServerEntry> target = this.serverSelector.selectMigrationTarget(toPlacementRequest(request),
				migration.source.server, excludedTargetIds(request, migration));
		if (target.isEmpty()) {
			// Capacity may become available while the source still runs, also on
			// servers that rejected the copy before.
			migration.rejectedTargetIds.clear();
			migration.stage = GenerationMigration.Stage.WAITING;
			this.context.scheduler.schedule(NO_TARGET_RETRY_DELAY_MILLIS,
					() -> selectTargetAndCopy(request, migration));
			return;
		}
		copyTo(request, migration, target.get());
	}

	private PlacementRequest toPlacementRequest(ActiveRequest request) {
		return request.toPlacementRequest(this.context.scheduler.nowMillis());
	}

	// A server that may still run the generation must not be asked to continue it.
	private static Set<String> excludedTargetIds(ActiveRequest request, GenerationMigration migration) {
		Set<String> excluded = new HashSet<>(migration.rejectedTargetIds);
		excluded.addAll(request.stoppingServers);
		return excluded;
	}

	private void copyTo(ActiveRequest request, GenerationMigration migration, ServerEntry target) {
		migration.reserveTokens(target, request.reservedTokens);
		migration.stage = GenerationMigration.Stage.COPYING;
		long startedMillis = this.context.scheduler.nowMillis();
		this.context.client.sendAsync(migration.source.server.registration.address(),
				this.context.serverProtocol.buildMigrationRequest(request.id(), target.registration.address()),
				COPY_TIMEOUT_MILLIS, (response) -> onCopyResult(request, migration,
						this.context.serverProtocol.decodeMigrationResult(response), startedMillis));
	}

	private void onCopyResult(ActiveRequest request, GenerationMigration migration, MigrationResult result,
			long startedMillis) {
		this.context.log.logRequest(request.id(), "KV cache copy finished",
				Map.of("result", String.valueOf(result), "source", migration.source.server.registration.id(), "target",
						migration.target.registration.id(), "millis",
						this.context.scheduler.nowMillis() - startedMillis));
		if (result instanceof MigrationResult.Copied copied) {
			migration.copyHandle = copied.handle();
		}
		if (isObsolete(request, migration)) {
			migration.abort();
			this.copies.releaseUnused(migration);
			return;
		}
		if (migration.copyHandle != null) {
			this.handover.connect(request, migration, migration.target,
					new GenerationResumePoint(migration.source.server.registration.address(), migration.copyHandle,
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
				() -> selectTargetAndCopy(request, migration));
	}

	/**
	 * Ends the migration of a request that is sent to a new server instead.
	 * @param request the request
	 */
	void abortMigration(ActiveRequest request) {
		this.activeRequests.cancelAttempt(request.successor);
		if (request.migration != null) {
			request.migration.abort();
		}
	}

	/**
	 * Stops a generation that a server may still run although its attempt was given up
	 * while the request goes on elsewhere. If the attempt was that of a target that was
	 * not asked, this is the source.
	 * @param attempt the attempt
	 */
	void stopAbandoned(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		ServerAttempt abandoned = (attempt.sent || request.migration == null) ? attempt : request.migration.source;
		if (!abandoned.sent || request.finished || request.attempt == null || !isMigratable(request)) {
			return;
		}
		request.stoppingServers.add(abandoned.server.registration.id());
		this.stopper.stopAfterLoss(request.id(), abandoned.server, request.attempt.server,
				() -> request.usesServer(abandoned.server), (outcome) -> {
					if (outcome instanceof ReleaseOutcome.Stopped || outcome instanceof ReleaseOutcome.Ended) {
						request.stoppingServers.remove(abandoned.server.registration.id());
					}
					outcome.answer().ifPresent((answer) -> this.copies.release(abandoned.server, answer.handle()));
				});
	}

	/**
	 * Handles the loss of the connection to a server that was to continue a generation.
	 * Another target is selected while the source runs.
	 * @param successor the attempt on that server, which was not asked
	 * @return {@code false} if the source does not run any more, so that the generation
	 * cannot continue
	 */
	boolean onSuccessorLost(ServerAttempt successor) {
		ActiveRequest request = successor.activeRequest;
		GenerationMigration migration = request.migration;
		if (this.handover.reconnect(successor)) {
			return true;
		}
		this.copies.releaseUnused(migration);
		if (isObsolete(request, migration)) {
			migration.abort();
			return false;
		}
		migration.failedResumes++;
		if (migration.failedResumes >= MAXIMUM_FAILED_RESUMES) {
			migration.abort();
			return true;
		}
		migration.rejectedTargetIds.add(successor.server.registration.id());
		selectTargetAndCopy(request, migration);
		return true;
	}

	/**
	 * Takes over a generation whose attempt has failed, if another server can continue
	 * it.
	 * @param attempt the failed attempt
	 * @return {@code true} if the generation continues
	 */
	boolean takeOverFailedSource(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		if (request.successor != null || isReleasing(attempt)) {
			this.handover.onSourceLost(request, attempt.isStreamEndedByServer());
			return true;
		}
		Optional<ServerEntry> backup = isMigratable(request) ? tryUseBackup(attempt) : Optional.empty();
		if (backup.isEmpty()) {
			return false;
		}
		this.context.metrics.recordDecision("generation continued from backup");
		connectBackup(request, beginMigration(attempt), backup.get());
		return true;
	}

	private static boolean isReleasing(ServerAttempt attempt) {
		GenerationMigration migration = attempt.activeRequest.migration;
		return migration != null && migration.source == attempt
				&& migration.stage == GenerationMigration.Stage.RELEASING;
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
		if (migration.release != null) {
			migration.release.abandon();
		}
		if (migration.stage != GenerationMigration.Stage.RESUMED) {
			this.copies.releaseUnused(migration);
		}
	}

}
