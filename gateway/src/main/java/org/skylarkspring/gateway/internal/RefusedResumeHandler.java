package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.skylarkspring.gateway.model.GenerationResumePoint;

/**
 * Carries on generations whose target refused to continue them after their source was
 * stopped. A refusal says that the target has not run the generation and uses up no copy.
 * When the source is confirmed to have stopped, the generation returns to it if it kept
 * the KV cache; otherwise the target is asked again.
 */
final class RefusedResumeHandler {

	/** Number of refusals after which a generation is given up. */
	private static final int MAXIMUM_REFUSALS = 4;

	/** Delay before a server that has refused is asked again. */
	private static final long REPEAT_DELAY_MILLIS = 40;

	/**
	 * Pause of a stream after which its generation is given up, because the caller leaves
	 * soon.
	 */
	private static final long MAXIMUM_PAUSE_MILLIS = 1_500;

	private final GatewayContext context;

	private final RequestDispatcher dispatcher;

	private final ActiveRequestRegistry activeRequests;

	private final BiConsumer<ServerEntry, String> copyReleaser;

	/**
	 * Creates the component.
	 * @param context clock, log and metrics
	 * @param dispatcher connects the servers that are asked
	 * @param activeRequests ends generations that no server can continue
	 * @param copyReleaser releases a copy by its handle
	 */
	RefusedResumeHandler(GatewayContext context, RequestDispatcher dispatcher, ActiveRequestRegistry activeRequests,
			BiConsumer<ServerEntry, String> copyReleaser) {
		this.context = context;
		this.dispatcher = dispatcher;
		this.activeRequests = activeRequests;
		this.copyReleaser = copyReleaser;
	}

	/**
	 * Remembers what a generation can be continued from until its target sends an event.
	 * @param source server that is stopped
	 * @param asked attempt on the target
	 * @param resumePoint point that the target was asked to resume from
	 * @return what is remembered
	 */
	ResumeFallback remember(ServerEntry source, ServerAttempt asked, GenerationResumePoint resumePoint) {
		release(asked.activeRequest);
		ResumeFallback fallback = new ResumeFallback(source, asked, resumePoint);
		asked.activeRequest.resumeFallback = fallback;
		return fallback;
	}

	/**
	 * Handles the end of the attempt to stop the source.
	 * @param request the request
	 * @param fallback what was remembered when the target was asked
	 * @param outcome what is known of the source
	 */
	void onSourceStopped(ActiveRequest request, ResumeFallback fallback, GenerationStopper.Outcome outcome) {
		fallback.sourceOutcome = outcome;
		outcome.handle().ifPresent((handle) -> keepOrRelease(request, fallback, handle));
		if (isCurrent(request, fallback) && fallback.refused) {
			continueOrEnd(request, fallback);
		}
	}

	private void keepOrRelease(ActiveRequest request, ResumeFallback fallback, String handle) {
		if (isCurrent(request, fallback)) {
			fallback.keptHandle = handle;
		}
		else {
			this.copyReleaser.accept(fallback.source, handle);
		}
	}

	private static boolean isCurrent(ActiveRequest request, ResumeFallback fallback) {
		return !request.finished && request.resumeFallback == fallback;
	}

	/**
	 * Handles the first event of a server that continues a generation.
	 * @param attempt the attempt on that server
	 */
	void onFirstEvent(ServerAttempt attempt) {
		ResumeFallback fallback = attempt.activeRequest.resumeFallback;
		if (fallback != null && fallback.asked == attempt) {
			release(attempt.activeRequest);
		}
	}

	/**
	 * Releases what a request can be continued from and has not used.
	 * @param request the request
	 */
	void release(ActiveRequest request) {
		ResumeFallback fallback = request.resumeFallback;
		request.resumeFallback = null;
		if (fallback != null) {
			fallback.unusedHandles().forEach((handle) -> this.copyReleaser.accept(fallback.source, handle));
		}
	}

	/**
	 * Returns whether an attempt asks a server once more after a refusal, with no server
	 * running the generation.
	 * @param attempt the attempt
	 * @return {@code true} if it does
	 */
	boolean isRepeat(ServerAttempt attempt) {
		ResumeFallback fallback = attempt.activeRequest.resumeFallback;
		return fallback != null && fallback.refused && fallback.asked == attempt;
	}

	/**
	 * Makes an attempt that asks once more the owner of the generation, as it is sent
	 * now.
	 * @param attempt the attempt
	 */
	void onRepeatSent(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		ResumeFallback fallback = request.resumeFallback;
		fallback.refused = false;
		if (attempt.server == fallback.source) {
			fallback.keptHandle = null;
		}
		request.successor = null;
		request.attempt = attempt;
	}

	/**
	 * Carries on a generation that a server has not continued.
	 * @param refused the attempt that was refused or not sent
	 * @return {@code false} if the generation cannot be carried on
	 */
	boolean continueAfterRefusal(ServerAttempt refused) {
		ActiveRequest request = refused.activeRequest;
		ResumeFallback fallback = request.resumeFallback;
		if (fallback == null || fallback.asked != refused || request.route.semantics().isRetryable()) {
			return false;
		}
		fallback.refused = true;
		fallback.refusals++;
		if (!mayContinue(request, fallback)) {
			return false;
		}
		boolean sourceKnown = fallback.sourceOutcome != null;
		if (sourceKnown) {
			connectNext(request, fallback);
		}
		return true;
	}

	private void continueOrEnd(ActiveRequest request, ResumeFallback fallback) {
		if (mayContinue(request, fallback)) {
			connectNext(request, fallback);
			return;
		}
		this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(),
				"no server can continue the generation");
	}

	// A server that may still run the generation forbids that another one is asked again.
	private boolean mayContinue(ActiveRequest request, ResumeFallback fallback) {
		long pauseMillis = this.context.scheduler.nowMillis()
				- Math.max(request.lastEventMillis, request.arrivedMillis);
		boolean sourceMayRun = fallback.sourceOutcome != null && !fallback.isSourceStopped();
		return !sourceMayRun && fallback.refusals < MAXIMUM_REFUSALS && pauseMillis < MAXIMUM_PAUSE_MILLIS;
	}

	private void connectNext(ActiveRequest request, ResumeFallback fallback) {
		Optional<String> kept = fallback.untriedHandle();
		fallback.sourceTried |= kept.isPresent();
		ServerEntry next = kept.isPresent() ? fallback.source : fallback.target;
		GenerationResumePoint from = kept
			.map((handle) -> new GenerationResumePoint(fallback.source.registration.address(), handle,
					request.eventOrder.lastDeliveredId()))
			.orElseGet(() -> new GenerationResumePoint(fallback.resumePoint.sourceAddress(),
					fallback.resumePoint.cacheCopyId(), request.eventOrder.lastDeliveredId()));
		long now = this.context.scheduler.nowMillis();
		long delayMillis = kept.isPresent() ? 0 : Math.max(REPEAT_DELAY_MILLIS, next.backoffMillis(now));
		logRepeat(request, fallback, next, delayMillis);
		this.context.scheduler.schedule(delayMillis, () -> connect(request, fallback, next, from));
	}

	private void connect(ActiveRequest request, ResumeFallback fallback, ServerEntry next, GenerationResumePoint from) {
		if (!isCurrent(request, fallback)) {
			return;
		}
		if (mayContinue(request, fallback)) {
			fallback.asked = this.dispatcher.connectSuccessor(request, next, from);
			return;
		}
		this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(),
				"generation was not continued in time");
	}

	private void logRepeat(ActiveRequest request, ResumeFallback fallback, ServerEntry next, long delayMillis) {
		this.context.metrics.recordDecision("generation continued after a refusal");
		this.context.log.logRequest(request.id(), "generation continued after a refusal",
				Map.of("server", next.registration.id(), "source", fallback.source.registration.id(), "refusals",
						fallback.refusals, "delay-millis", delayMillis, "last-event",
						request.eventOrder.lastDeliveredId().orElse("")));
	}

}
