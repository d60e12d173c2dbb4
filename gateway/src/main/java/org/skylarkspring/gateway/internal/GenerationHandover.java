package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.GenerationResumePoint;
import org.skylarkspring.gateway.model.StopResult;

/**
 * Hands a generation over to the server that has a copy of its KV cache. That server is
 * connected first. It is asked to continue only when the source is known to have released
 * the generation, so that two servers never run it.
 */
final class GenerationHandover {

	/**
	 * Time for which the connection to the target is kept open before the source that
	 * still runs is ordered to stop. A server that resets connections as soon as it
	 * accepts them shows it within this time, so that another target can be used.
	 */
	private static final long CONNECTION_CHECK_MILLIS = 20;

	/** Delay before a target whose connection was lost is connected again. */
	private static final long RECONNECT_DELAY_MILLIS = 20;

	/** Number of reconnects to a target once the source has stopped. */
	private static final int MAXIMUM_RECONNECTS = 3;

	private final GatewayContext context;

	private final RequestDispatcher dispatcher;

	private final ActiveRequestRegistry activeRequests;

	private final GenerationStopper stopper;

	private final KvCacheCopies copies;

	private final GenerationFallback fallback;

	/** Migrates a generation away from the server of an attempt. */
	private final Consumer<ServerAttempt> migrationStarter;

	GenerationHandover(GatewayContext context, RequestDispatcher dispatcher, ActiveRequestRegistry activeRequests,
			GenerationStopper stopper, KvCacheCopies copies, Consumer<ServerAttempt> migrationStarter) {
		this.context = context;
		this.dispatcher = dispatcher;
		this.activeRequests = activeRequests;
		this.stopper = stopper;
		this.copies = copies;
		this.migrationStarter = migrationStarter;
		this.fallback = new GenerationFallback(context, dispatcher, activeRequests, copies, migrationStarter);
	}

	GenerationFallback fallback() {
		return this.fallback;
	}

	/**
	 * Connects to the server that is to continue a generation.
	 * @param request the request
	 * @param migration the migration
	 * @param target the server
	 * @param resumePoint point from which the generation resumes
	 */
	void connect(ActiveRequest request, GenerationMigration migration, ServerEntry target,
			GenerationResumePoint resumePoint) {
		migration.releaseReservation();
		migration.target = target;
		migration.resumePoint = resumePoint;
		migration.stage = GenerationMigration.Stage.CONNECTING;
		this.dispatcher.connectSuccessor(request, target, resumePoint);
	}

	/**
	 * Handles the connection to the server that is to continue a generation, which is
	 * asked as soon as the source has released it.
	 * @param successor the attempt on that server
	 */
	void onConnected(ServerAttempt successor) {
		ActiveRequest request = successor.activeRequest;
		GenerationMigration migration = request.migration;
		if (migration.release != null) {
			askIfReleased(request, migration);
		}
		else if (request.attempt == migration.source) {
			this.context.scheduler.schedule(CONNECTION_CHECK_MILLIS, () -> startRelease(successor, migration));
		}
		else {
			startRelease(successor, migration);
		}
	}

	private void startRelease(ServerAttempt successor, GenerationMigration migration) {
		ActiveRequest request = successor.activeRequest;
		boolean wanted = !request.finished && request.migration == migration && request.successor == successor
				&& migration.release == null;
		if (!wanted) {
			return;
		}
		migration.stage = GenerationMigration.Stage.RELEASING;
		migration.releaseStartedMillis = this.context.scheduler.nowMillis();
		ServerEntry source = migration.source.server;
		request.stoppingServers.add(source.registration.id());
		boolean streamOpen = request.attempt == migration.source;
		migration.release = this.stopper.release(request.id(), source, successor.server, streamOpen,
				() -> isReturned(request, migration), (outcome) -> onReleased(request, migration, outcome),
				(answer) -> this.fallback.onLateAnswer(request, migration, answer));
	}

	private static boolean isReturned(ActiveRequest request, GenerationMigration migration) {
		return migration.stage == GenerationMigration.Stage.RESUMED && request.usesServer(migration.source.server);
	}

	private void onReleased(ActiveRequest request, GenerationMigration migration, ReleaseOutcome outcome) {
		if (outcome instanceof ReleaseOutcome.Stopped || outcome instanceof ReleaseOutcome.Ended) {
			request.stoppingServers.remove(migration.source.server.registration.id());
		}
		migration.stoppedByOrder = outcome instanceof ReleaseOutcome.Stopped;
		outcome.answer().ifPresent((answer) -> useFinalCopy(migration, answer));
		if (request.finished || request.migration != migration) {
			this.copies.releaseUnused(migration);
			return;
		}
		if (outcome instanceof ReleaseOutcome.StillRunning) {
			this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(),
					"server does not stop the generation");
			return;
		}
		if (request.attempt == migration.source) {
			this.activeRequests.cancelAttempt(migration.source);
		}
		askIfReleased(request, migration);
	}

	private static void useFinalCopy(GenerationMigration migration, StopResult.Stopped answer) {
		migration.finalAnswer = answer;
		migration.copyHandle = answer.handle();
		if (answer.copied()) {
			migration.resumePoint = new GenerationResumePoint(migration.source.server.registration.address(),
					answer.handle(), Optional.empty());
		}
	}

	// A target whose connection was lost meanwhile is asked when it is connected again.
	private void askIfReleased(ActiveRequest request, GenerationMigration migration) {
		ServerAttempt successor = request.successor;
		boolean sourceRuns = request.attempt != null;
		if (request.finished || successor == null || !successor.isWaiting() || sourceRuns
				|| !migration.release.isReleased()) {
			return;
		}
		migration.stage = GenerationMigration.Stage.RESUMED;
		successor.origin = migration;
		request.successor = null;
		request.attempt = successor;
		logResumption(request, migration);
		request.possibleExecutions++;
		successor.resumeFrom(
				new GenerationResumePoint(migration.resumePoint.sourceAddress(), migration.resumePoint.cacheCopyId(),
						request.eventOrder.lastDeliveredId()),
				Math.max(1, request.deadlineMillis - this.context.scheduler.nowMillis()));
		if (request.attempt == successor && !successor.server.acceptsRequests()) {
			this.migrationStarter.accept(successor);
		}
	}

	/**
	 * Handles the end or the loss of a source that was to release its generation.
	 * @param request the request
	 * @param endedByServer whether the server ended the stream in order
	 */
	void onSourceLost(ActiveRequest request, boolean endedByServer) {
		GenerationMigration migration = request.migration;
		if (migration.release == null) {
			if (request.successor != null && request.successor.isWaiting()) {
				startRelease(request.successor, migration);
			}
			return;
		}
		if (endedByServer) {
			migration.release.onStreamEnded();
		}
		else {
			migration.release.onStreamLost();
		}
	}

	/**
	 * Handles the loss of the connection to a target that waits for the source. A target
	 * that cannot be connected once the source has stopped leaves the generation to the
	 * source, or ends the request.
	 * @param successor the attempt on the target
	 * @return {@code true} if the target is connected again; {@code false} if the source
	 * was not ordered to release the generation yet, so that another target may be used
	 */
	boolean reconnect(ServerAttempt successor) {
		ActiveRequest request = successor.activeRequest;
		GenerationMigration migration = request.migration;
		if (migration.release == null) {
			return false;
		}
		migration.failedResumes += migration.release.isReleased() ? 1 : 0;
		if (migration.failedResumes > MAXIMUM_RECONNECTS) {
			migration.stage = GenerationMigration.Stage.RESUMED;
			this.fallback.continueOrEnd(request, migration, "target cannot be connected");
			return true;
		}
		this.context.scheduler.schedule(RECONNECT_DELAY_MILLIS, () -> connectAgain(request, migration));
		return true;
	}

	private void connectAgain(ActiveRequest request, GenerationMigration migration) {
		boolean wanted = !request.finished && request.migration == migration && request.successor == null
				&& migration.stage == GenerationMigration.Stage.RELEASING;
		if (wanted) {
			this.dispatcher.connectSuccessor(request, migration.target, migration.resumePoint);
		}
	}

	private void logResumption(ActiveRequest request, GenerationMigration migration) {
		long now = this.context.scheduler.nowMillis();
		this.context.log.logRequest(request.id(), "generation resumed on target",
				Map.of("source", migration.source.server.registration.id(), "target",
						migration.target.registration.id(), "release-millis", now - migration.releaseStartedMillis,
						"last-event", request.eventOrder.lastDeliveredId().orElse(""), "millis-since-notice",
						now - migration.noticeMillis, "millis-since-event",
						(request.lastEventMillis < 0) ? -1 : now - request.lastEventMillis));
		this.context.metrics.recordDecision("generation carried over");
	}

}
