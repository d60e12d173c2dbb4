package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.function.Consumer;

import org.skylarkspring.gateway.policy.SseEvent;

/**
 * Relays the events of streams to callers and monitors the pauses between them.
 */
final class StreamRelay {

	/**
	 * Pause of a stream, as a multiple of the target latency of the route, above which a
	 * stall is logged.
	 */
	private static final int STALL_LATENCY_FACTOR = 2;

	private final GatewayContext context;

	/**
	 * Number of events after which a server has evidently not crashed on the prompt.
	 */
	private static final int EVENTS_OF_SUCCESSFUL_START = 8;

	private final ActiveRequestRegistry activeRequests;

	private final CrashQuarantine crashQuarantine;

	private Consumer<ServerAttempt> eventListener = (attempt) -> {
	};

	private Consumer<ActiveRequest> completionListener = (request) -> {
	};

	StreamRelay(GatewayContext context, ActiveRequestRegistry activeRequests, CrashQuarantine crashQuarantine) {
		this.context = context;
		this.activeRequests = activeRequests;
		this.crashQuarantine = crashQuarantine;
	}

	/**
	 * Sets the listeners that are told of the progress of streams.
	 * @param onEvent receives the attempt of each event that is relayed
	 * @param onComplete receives the request of each complete stream
	 */
	void setListeners(Consumer<ServerAttempt> onEvent, Consumer<ActiveRequest> onComplete) {
		this.eventListener = onEvent;
		this.completionListener = onComplete;
	}

	/**
	 * Relays an event of a stream to the caller.
	 * @param attempt the attempt that received the event
	 * @param event the event
	 * @return {@code false} if too many bytes are pending, so that reading from the
	 * server should be suspended
	 */
	boolean relayEvent(ServerAttempt attempt, SseEvent event) {
		ActiveRequest request = attempt.activeRequest;
		long now = this.context.scheduler.nowMillis();
		if (!request.isCommitted()) {
			request.responseWriter.startResponse(attempt.response().getResponseCode(),
					RelayedHeads.responseHeaders(attempt.response()));
			request.firstEventMillis = now;
			this.context.log.logRoutineRequest(now, request.id(), "stream started",
					Map.of("server", attempt.server.registration.id(), "route", request.route.name(), "millis",
							now - request.arrivedMillis));
			this.context.metrics.recordLatency(request.route.name(), now - request.arrivedMillis);
		}
		else if (request.lastEventMillis >= 0) {
			request.longestPauseMillis = Math.max(request.longestPauseMillis, now - request.lastEventMillis);
		}
		request.lastEventMillis = now;
		attempt.relayedEvents++;
		if (attempt.relayedEvents == EVENTS_OF_SUCCESSFUL_START) {
			this.crashQuarantine.recordPromptSuccess(request);
		}
		attempt.markPrefillComplete();
		request.eventOrder.recordDelivered(event);
		this.eventListener.accept(attempt);
		return request.responseWriter.write(event.bytes());
	}

	/**
	 * Handles the end of a complete stream.
	 * @param attempt the attempt that received the stream
	 * @param trailingBytes line breaks after the last event, may be empty
	 */
	void completeStream(ServerAttempt attempt, byte[] trailingBytes) {
		ActiveRequest request = attempt.activeRequest;
		this.activeRequests.detachAttempt(attempt);
		this.activeRequests.attemptListener().onAttemptEnded(attempt, false);
		attempt.server.recordSuccess(this.context.scheduler.nowMillis());
		this.crashQuarantine.recordPromptSuccess(request);
		this.crashQuarantine.recordRequestSuccess(request);
		recordPace(attempt);
		if (!request.isCommitted()) {
			request.responseWriter.startResponse(attempt.response().getResponseCode(),
					RelayedHeads.responseHeaders(attempt.response()));
		}
		if (trailingBytes.length > 0) {
			request.responseWriter.write(trailingBytes);
		}
		this.context.metrics.recordLongestPause(request.route.name(), request.migration != null,
				request.longestPauseMillis);
		this.context.log.logRoutineRequest(this.context.scheduler.nowMillis(), request.id(), "stream complete",
				Map.of("server", attempt.server.registration.id(), "route", request.route.name(), "first-event-millis",
						request.firstEventMillis - request.arrivedMillis, "longest-pause-millis",
						request.longestPauseMillis, "events", request.eventOrder.lastDeliveredId().orElse(""),
						"carried", request.migration != null, "framing", attempt.framing()));
		this.completionListener.accept(request);
		this.activeRequests.finish(request, "completed");
		request.responseWriter.end();
	}

	// The pauses of a generation that was moved say nothing about one server.
	private void recordPace(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		if (attempt.relayedEvents < EVENTS_OF_SUCCESSFUL_START || request.sendCount > 1) {
			return;
		}
		double meanIntervalMillis = (double) (request.lastEventMillis - request.firstEventMillis)
				/ (attempt.relayedEvents - 1);
		this.context.serverPaces.recordStream(attempt.server.registration.id(), meanIntervalMillis,
				request.longestPauseMillis, this.context.scheduler.nowMillis());
	}

	/** Logs each stalled stream, once per pause. */
	void logStalledStreams() {
		long now = this.context.scheduler.nowMillis();
		this.activeRequests.requests()
			.stream()
			.filter((request) -> request.route.semantics().isStreaming() && request.attempt != null)
			.filter((request) -> stalledMillis(request, now) > STALL_LATENCY_FACTOR
					* request.route.targetLatencyMillis())
			.filter((request) -> request.loggedStallEventMillis != request.lastEventMillis)
			.forEach((request) -> {
				request.loggedStallEventMillis = request.lastEventMillis;
				this.context.log.logRequest(request.id(), "stream stalled",
						Map.of("server", request.attempt.server.registration.id(), "millis",
								stalledMillis(request, now), "head-received", request.attempt.hasResponse(),
								"last-event", request.eventOrder.lastDeliveredId().orElse(""), "bytes-pending",
								request.responseWriter.pendingBytes()));
			});
	}

	private static long stalledMillis(ActiveRequest request, long now) {
		return now - Math.max(request.lastEventMillis, request.arrivedMillis);
	}

}
