package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.GenerationResumePoint;
import org.skylarkspring.gateway.model.StopResult;

/**
 * Continues generations that their source has released and their target has not taken,
 * such as for lack of the backup that it was to have. The target is asked once more when
 * the source has copied the KV cache to it; otherwise the source continues the generation
 * from the KV cache that it kept, and the generation migrates again. When it is too late
 * to return, the target that holds the copy is asked again until it takes the generation,
 * the target ends, the source has refused to take it back several times as well, or the
 * caller's deadline is reached.
 */
final class GenerationFallback {

	/** Longest wait for the source's answer to the order to stop. */
	private static final long ANSWER_TIMEOUT_MILLIS = 3_000;

	/**
	 * Time since the notice of a source within which a generation may return to it.
	 * Later, a terminating server must not receive requests any more.
	 */
	private static final long MAXIMUM_RETURN_MILLIS = 1_000;

	/**
	 * Shortest delay before a generation is migrated or its target asked again after a
	 * refusal. Doubles with each refusal, so that the rate of attempts is bounded.
	 */
	private static final long RETRY_DELAY_MILLIS = 20;

	private static final int MAXIMUM_DELAY_DOUBLINGS = 3;

	/**
	 * Number of times that a source may refuse to take its generation back before the
	 * generation is lost. Its target has refused it as often by then.
	 */
	private static final int MAXIMUM_SOURCE_REFUSALS = 3;

	/** Time after which a copy that the target has not needed is freed. */
	private static final long UNUSED_COPY_MILLIS = 1_000;

	private static final String NOT_TAKEN = "target has not taken the generation, and its source cannot continue it";

	private final GatewayContext context;

	private final RequestDispatcher dispatcher;

	private final ActiveRequestRegistry activeRequests;

	private final KvCacheCopies copies;

	/** Migrates a generation away from the server of an attempt. */
	private final Consumer<ServerAttempt> migrationStarter;

	GenerationFallback(GatewayContext context, RequestDispatcher dispatcher, ActiveRequestRegistry activeRequests,
			KvCacheCopies copies, Consumer<ServerAttempt> migrationStarter) {
		this.context = context;
		this.dispatcher = dispatcher;
		this.activeRequests = activeRequests;
		this.copies = copies;
		this.migrationStarter = migrationStarter;
	}

	/**
	 * Continues the generation of an attempt that has not run it.
	 * @param attempt the attempt on the target
	 * @return {@code true} if the generation goes on
	 */
	boolean continueAfterRefusal(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		GenerationMigration migration = attempt.origin;
		if (request.finished || migration == null || attempt.dispatchHead.resumePoint().isEmpty()) {
			return false;
		}
		String triedCopyId = attempt.dispatchHead.resumePoint().get().cacheCopyId();
		return proceed(request, migration, triedCopyId);
	}

	/**
	 * Continues a generation whose target could not be asked, or ends its request.
	 * @param request the request
	 * @param migration the migration
	 * @param reason reason to log if the request ends
	 */
	void continueOrEnd(ActiveRequest request, GenerationMigration migration, String reason) {
		if (!proceed(request, migration, migration.resumePoint.cacheCopyId())) {
			end(request, migration, reason);
		}
	}

	private boolean proceed(ActiveRequest request, GenerationMigration migration, String triedCopyId) {
		if (!migration.stoppedByOrder) {
			return false;
		}
		request.migration = migration;
		migration.refusals++;
		migration.refusedBySource = migration.fallback == GenerationMigration.Fallback.SOURCE;
		migration.sourceRefusals += migration.refusedBySource ? 1 : 0;
		if (migration.finalAnswer != null) {
			return continueFromFinalCopy(request, migration, triedCopyId);
		}
		migration.fallback = GenerationMigration.Fallback.WAITING;
		this.context.scheduler.schedule(ANSWER_TIMEOUT_MILLIS, () -> continueIfUnanswered(request, migration));
		return true;
	}

	/**
	 * Handles the answer of a source that had released its generation before.
	 * @param request the request
	 * @param migration the migration
	 * @param answer the answer
	 */
	void onLateAnswer(ActiveRequest request, GenerationMigration migration, StopResult.Stopped answer) {
		migration.finalAnswer = answer;
		boolean waits = migration.fallback == GenerationMigration.Fallback.WAITING && isWaiting(request, migration);
		if (waits && !continueFromFinalCopy(request, migration, migration.resumePoint.cacheCopyId())) {
			end(request, migration, NOT_TAKEN);
			return;
		}
		boolean usedByTarget = migration.stage == GenerationMigration.Stage.RESUMED
				&& migration.resumePoint.cacheCopyId().equals(answer.handle());
		if (!usedByTarget) {
			this.context.scheduler.schedule(UNUSED_COPY_MILLIS, () -> releaseUnlessUsed(migration, answer));
		}
	}

	private static boolean isWaiting(ActiveRequest request, GenerationMigration migration) {
		return !request.finished && request.migration == migration && request.attempt == null;
	}

	private void releaseUnlessUsed(GenerationMigration migration, StopResult.Stopped answer) {
		if (migration.fallback == GenerationMigration.Fallback.NONE) {
			this.copies.release(migration.source.server, answer.handle());
		}
	}

	private boolean continueFromFinalCopy(ActiveRequest request, GenerationMigration migration, String triedCopyId) {
		StopResult.Stopped answer = migration.finalAnswer;
		boolean unused = !answer.handle().equals(triedCopyId) && !migration.finalCopyTried;
		if (answer.copied() && unused) {
			askTarget(request, migration);
			return true;
		}
		if (mayReturn(request, migration) && !migration.refusedBySource) {
			returnToSource(request, migration);
			return true;
		}
		return continueAfterDelay(request, migration);
	}

	// An order that is not answered yet could stop a generation that has returned.
	private boolean mayReturn(ActiveRequest request, GenerationMigration migration) {
		return mayReturnLater(request, migration) && !migration.release.hasUnansweredOrder();
	}

	private boolean mayReturnLater(ActiveRequest request, GenerationMigration migration) {
		return migration.finalAnswer != null && isReturnInTime(request, migration);
	}

	private boolean isReturnInTime(ActiveRequest request, GenerationMigration migration) {
		ServerEntry source = migration.source.server;
		long sendMillis = this.context.scheduler.nowMillis() + RequestDispatcher.connectionCheckMillis(request, source);
		return sendMillis - migration.noticeMillis <= MAXIMUM_RETURN_MILLIS && !source.removed;
	}

	// The target keeps its copy when it refuses. Without a final copy it may hold none,
	// which is worth a request only while the source lives. A terminating target must not
	// receive further requests.
	private static boolean mayAskAgain(GenerationMigration migration) {
		boolean mayHoldCopy = !migration.source.server.removed || isCopied(migration);
		return mayHoldCopy && migration.target.acceptsRequests();
	}

	private static boolean isCopied(GenerationMigration migration) {
		return migration.finalAnswer != null && migration.finalAnswer.copied();
	}

	private boolean continueAfterDelay(ActiveRequest request, GenerationMigration migration) {
		boolean refusedByBoth = migration.sourceRefusals >= MAXIMUM_SOURCE_REFUSALS;
		if (refusedByBoth || (!mayAskAgain(migration) && !mayReturnLater(request, migration))) {
			return false;
		}
		migration.fallback = GenerationMigration.Fallback.DELAYED;
		long backoffMillis = mayReturnLater(request, migration) ? 0
				: migration.target.backoffMillis(this.context.scheduler.nowMillis());
		this.context.scheduler.schedule(Math.max(backoffMillis, retryDelayMillis(migration.refusals)),
				() -> continueDelayed(request, migration));
		return true;
	}

	private static long retryDelayMillis(int refusals) {
		int doublings = Math.min(refusals - 1, MAXIMUM_DELAY_DOUBLINGS);
		return RETRY_DELAY_MILLIS << doublings;
	}

	private void continueDelayed(ActiveRequest request, GenerationMigration migration) {
		if (request.finished) {
			this.copies.releaseUnused(migration);
			return;
		}
		if (!isWaiting(request, migration)) {
			return;
		}
		boolean targetFirst = migration.refusedBySource && mayAskAgain(migration);
		if (mayReturn(request, migration) && !targetFirst) {
			returnToSource(request, migration);
		}
		else if (mayAskAgain(migration)) {
			askTarget(request, migration);
		}
		else if (!continueAfterDelay(request, migration)) {
			end(request, migration, NOT_TAKEN);
		}
	}

	private void askTarget(ActiveRequest request, GenerationMigration migration) {
		migration.fallback = GenerationMigration.Fallback.TARGET;
		boolean finalCopy = isCopied(migration);
		migration.finalCopyTried |= finalCopy;
		resumeOn(request, migration, migration.target,
				finalCopy ? finalResumePoint(request, migration)
						: new GenerationResumePoint(migration.resumePoint.sourceAddress(),
								migration.resumePoint.cacheCopyId(), request.eventOrder.lastDeliveredId()),
				finalCopy ? "generation continued from the final copy" : "target asked again");
		migrateFromTerminatingServer(request);
	}

	private void returnToSource(ActiveRequest request, GenerationMigration migration) {
		migration.fallback = GenerationMigration.Fallback.SOURCE;
		resumeOn(request, migration, migration.source.server, finalResumePoint(request, migration),
				"generation returned to source");
		ServerAttempt returned = request.attempt;
		if (migration.refusals == 1) {
			migrateFromTerminatingServer(request);
		}
		else {
			this.context.scheduler.schedule(retryDelayMillis(migration.refusals), () -> migrateIfRunning(returned));
		}
	}

	private static GenerationResumePoint finalResumePoint(ActiveRequest request, GenerationMigration migration) {
		return new GenerationResumePoint(migration.source.server.registration.address(), migration.finalAnswer.handle(),
				request.eventOrder.lastDeliveredId());
	}

	private void resumeOn(ActiveRequest request, GenerationMigration migration, ServerEntry server,
			GenerationResumePoint resumePoint, String decision) {
		this.context.metrics.recordDecision(decision);
		this.context.log.logRequest(request.id(), decision,
				Map.of("server", server.registration.id(), "refused-by", refusingServerId(migration), "refusals",
						migration.refusals, "millis-since-notice",
						this.context.scheduler.nowMillis() - migration.noticeMillis));
		this.dispatcher.resumeOn(request, server, resumePoint, migration);
	}

	private static String refusingServerId(GenerationMigration migration) {
		ServerEntry refusing = migration.refusedBySource ? migration.source.server : migration.target;
		return refusing.registration.id();
	}

	private void migrateIfRunning(ServerAttempt attempt) {
		if (attempt != null && attempt.activeRequest.attempt == attempt) {
			migrateFromTerminatingServer(attempt.activeRequest);
		}
	}

	private void migrateFromTerminatingServer(ActiveRequest request) {
		if (request.attempt != null && !request.attempt.server.acceptsRequests()) {
			this.migrationStarter.accept(request.attempt);
		}
	}

	private void continueIfUnanswered(ActiveRequest request, GenerationMigration migration) {
		boolean waits = migration.fallback == GenerationMigration.Fallback.WAITING && isWaiting(request, migration);
		if (waits && !continueAfterDelay(request, migration)) {
			end(request, migration, NOT_TAKEN);
		}
	}

	private void end(ActiveRequest request, GenerationMigration migration, String reason) {
		this.copies.releaseUnused(migration);
		this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(), reason);
	}

}
