package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.MigrationResult;

/**
 * Carries running generations from servers that leave to others, within the same answer:
 * the memory is copied while the generation runs, then it is stopped, the rest is copied,
 * and the target goes on from the last event delivered.
 */
final class GenerationMigrator {

	private static final long COPY_TIMEOUT_MILLIS = 3_000;

	/** Pause before another target is looked for. */
	private static final long COPY_RETRY_DELAY_MILLIS = 20;

	/** Pause before a generation that had not started is looked for again. */
	private static final long NOT_STARTED_RETRY_DELAY_MILLIS = 60;

	/**
	 * Pause before targets that refused are asked again; the source lives for more than
	 * ten of them.
	 */
	private static final long NO_TARGET_RETRY_DELAY_MILLIS = 100;

	/** Time in which the stopped source's stream ends, well above a round trip. */
	private static final long SOURCE_END_TIMEOUT_MILLIS = 60;

	/**
	 * Share of the longest pause that is on time which the last copy may take; the rest
	 * is for the way to the target and its first event.
	 */
	private static final double FINAL_COPY_MAXIMUM_GAP_FRACTION = 0.4;

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
	 * Carries over what runs on a server that leaves.
	 * @param entry the server
	 */
	void migrateFromServer(ServerEntry entry) {
		List.copyOf(entry.attempts).forEach(this::startMigration);
	}

	/**
	 * Starts to carry a generation over if its server leaves and it can be carried.
	 * @param attempt the attempt that runs it
	 */
	void startMigration(ServerAttempt attempt) {
		ActiveRequest call = attempt.activeRequest;
		boolean movable = call.route.semantics().isStreaming()
				&& call.service.engine().map(EngineSpec::supportsMigration).orElse(false);
		if (!movable || call.finished || call.attempt != attempt || isMigrating(call)) {
			return;
		}
		call.migration = new GenerationMigration(attempt, this.context.scheduler.nowMillis());
		startPreCopy(call);
	}

	private boolean isMigrating(ActiveRequest call) {
		return call.migration != null && call.migration.stage != GenerationMigration.Stage.RESUMED
				&& call.migration.stage != GenerationMigration.Stage.ABORTED;
	}

	private void startPreCopy(ActiveRequest call) {
		GenerationMigration carry = call.migration;
		if (call.finished || call.attempt != carry.source) {
			carry.stage = GenerationMigration.Stage.ABORTED;
			return;
		}
		Optional<ServerEntry> target = this.serverSelector.selectMigrationTarget(call.service, call.reservedTokens,
				carry.source.server, carry.rejectedTargetIds);
		if (target.isEmpty()) {
			// Room may come while the source still runs; those that refused may have it
			// by then.
			carry.rejectedTargetIds.clear();
			this.context.scheduler.schedule(NO_TARGET_RETRY_DELAY_MILLIS, () -> startPreCopy(call));
			return;
		}
		carry.reserveTokens(target.get(), call.reservedTokens);
		carry.stage = GenerationMigration.Stage.PRE_COPY;
		requestCopy(call, false);
	}

	private void requestCopy(ActiveRequest call, boolean last) {
		GenerationMigration carry = call.migration;
		long started = this.context.scheduler.nowMillis();
		this.context.client.sendAsync(carry.source.server.registration.address(),
				this.context.serverProtocol.buildMigrationRequest(call.id(), carry.target.registration.address(), last),
				COPY_TIMEOUT_MILLIS, (result) -> onCopyResult(call, carry, last, result, started));
	}

	private void onCopyResult(ActiveRequest call, GenerationMigration carry, boolean last, HttpTextResult text,
			long started) {
		MigrationResult result = this.context.serverProtocol.decodeMigrationResult(text);
		this.context.log.logRequest(call.id(), last ? "last part copied" : "memory copied",
				Map.of("result", String.valueOf(result), "source", carry.source.server.registration.id(), "target",
						carry.target.registration.id(), "millis", this.context.scheduler.nowMillis() - started));
		if (call.finished || call.migration != carry || carry.stage == GenerationMigration.Stage.RESUMED) {
			return;
		}
		if (result instanceof MigrationResult.Copied copy) {
			carry.copyHandle = copy.handle();
			carry.hasCopy = true;
			if (last) {
				carry.stage = GenerationMigration.Stage.RESUMED;
				resumeAfterSourceEnds(call);
			}
			else if (call.attempt == carry.source) {
				stopAndCopyOrResume(call, carry, this.context.scheduler.nowMillis() - started);
			}
			return;
		}
		if (result instanceof MigrationResult.Unknown && call.attempt == carry.source) {
			// The engine has not started the request; there is nothing to copy yet.
			carry.releaseReservation();
			carry.stage = GenerationMigration.Stage.WAITING;
			this.context.scheduler.schedule(NOT_STARTED_RETRY_DELAY_MILLIS, () -> startPreCopy(call));
			return;
		}
		if (carry.hasCopy) {
			resumeFromLastCopy(call, carry);
			return;
		}
		onCopyFailed(call, carry, last);
	}

	// Copies of other generations queue on the same link, so a short copy shows that the
	// last one will be short as well. Where they queue the target goes on from the copy
	// it
	// has and reads the few tokens made since; another copy would wait behind the others.
	private void stopAndCopyOrResume(ActiveRequest call, GenerationMigration carry, long copyMillis) {
		long gapMillis = call.route.targetEventIntervalMillis();
		if (gapMillis == 0 || copyMillis <= FINAL_COPY_MAXIMUM_GAP_FRACTION * gapMillis) {
			carry.stage = GenerationMigration.Stage.STOP_AND_COPY;
			requestCopy(call, true);
		}
		else {
			resumeWithoutFinalCopy(call, carry);
		}
	}

	// Leaves the source without a last copy.
	private void resumeWithoutFinalCopy(ActiveRequest call, GenerationMigration carry) {
		if (call.finished || call.attempt != carry.source) {
			return;
		}
		carry.stage = GenerationMigration.Stage.RESUMED;
		carry.source.cancel();
		this.activeRequests.detachAttempt(carry.source);
		resumeOnTarget(call);
	}

	private void resumeFromLastCopy(ActiveRequest call, GenerationMigration carry) {
		if (carry.sourceEnded) {
			resumeOnTarget(call);
		}
		else {
			resumeWithoutFinalCopy(call, carry);
		}
	}

	private void onCopyFailed(ActiveRequest call, GenerationMigration carry, boolean last) {
		carry.releaseReservation();
		carry.rejectedTargetIds.add(carry.target.registration.id());
		if (last || call.attempt != carry.source) {
			carry.stage = GenerationMigration.Stage.ABORTED;
			if (carry.sourceEnded) {
				this.activeRequests.end(call, call.toRetryContext().decideWithoutRetry(),
						"generation stopped but not copied");
			}
			return;
		}
		carry.stage = GenerationMigration.Stage.WAITING;
		this.context.scheduler.schedule(COPY_RETRY_DELAY_MILLIS, () -> startPreCopy(call));
	}

	private void resumeAfterSourceEnds(ActiveRequest call) {
		GenerationMigration carry = call.migration;
		if (carry.sourceEnded) {
			resumeOnTarget(call);
			return;
		}
		this.context.scheduler.schedule(SOURCE_END_TIMEOUT_MILLIS, () -> {
			if (!call.finished && call.attempt == carry.source) {
				carry.source.cancel();
				this.activeRequests.detachAttempt(carry.source);
				resumeOnTarget(call);
			}
		});
	}

	/**
	 * Takes over a generation whose source has ended or broken.
	 * @param attempt the attempt that broke
	 * @return whether the call goes on here
	 */
	boolean takeOverEndedSource(ServerAttempt attempt) {
		ActiveRequest call = attempt.activeRequest;
		GenerationMigration carry = call.migration;
		if (carry == null || carry.source != attempt || carry.stage == GenerationMigration.Stage.ABORTED
				|| carry.stage == GenerationMigration.Stage.WAITING) {
			return false;
		}
		carry.sourceEnded = true;
		if (carry.stage == GenerationMigration.Stage.RESUMED
				|| (carry.stage == GenerationMigration.Stage.PRE_COPY && carry.hasCopy)) {
			resumeOnTarget(call);
			return true;
		}
		return carry.stage == GenerationMigration.Stage.STOP_AND_COPY;
	}

	private void resumeOnTarget(ActiveRequest call) {
		GenerationMigration carry = call.migration;
		if (call.finished || call.attempt != null) {
			return;
		}
		carry.stage = GenerationMigration.Stage.RESUMED;
		carry.releaseReservation();
		this.context.log.logRequest(call.id(), "continued elsewhere",
				Map.of("source", carry.source.server.registration.id(), "target", carry.target.registration.id(),
						"last-event", call.eventOrder.lastDeliveredId().orElse(""), "millis-since-notice",
						this.context.scheduler.nowMillis() - carry.startedMillis, "millis-since-event",
						(call.lastEventMillis < 0) ? -1 : this.context.scheduler.nowMillis() - call.lastEventMillis));
		this.context.metrics.recordDecision("generation carried over");
		this.dispatcher.send(call, carry.target, carry.continuation(call.eventOrder.lastDeliveredId()));
	}

	/**
	 * A server refused to go on with a generation. It may go on nowhere else, and
	 * starting it anew would run it twice unless its route allows that.
	 * @param attempt the attempt that was refused
	 * @return whether the call has ended
	 */
	boolean endIfContinuationRejected(ServerAttempt attempt) {
		ActiveRequest call = attempt.activeRequest;
		if (attempt.dispatchHead.resumePoint().isEmpty() || call.route.semantics().isRetryable()) {
			return false;
		}
		this.activeRequests.end(call, call.toRetryContext().decideWithoutRetry(), "continuation refused");
		return true;
	}

	/**
	 * A call has ended; copies of it are no longer needed.
	 * @param call the call
	 */
	void onRequestEnded(ActiveRequest call) {
		GenerationMigration carry = call.migration;
		if (carry == null) {
			return;
		}
		carry.releaseReservation();
		if (carry.hasCopy && carry.stage != GenerationMigration.Stage.RESUMED) {
			releaseCopy(carry);
		}
	}

	// A copy that nobody will use would keep memory and a slot of the target.
	private void releaseCopy(GenerationMigration carry) {
		this.context.metrics.recordDecision("copy freed");
		this.context.client.sendAsync(carry.source.server.registration.address(),
				this.context.serverProtocol.buildReleaseRequest(carry.copyHandle), COPY_TIMEOUT_MILLIS,
				(result) -> this.context.log.logStateChange("copy freed",
						Map.of("target", carry.target.registration.id(), "result", String.valueOf(result))));
	}

}
