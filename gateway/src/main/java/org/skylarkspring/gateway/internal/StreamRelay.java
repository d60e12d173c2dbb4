package org.skylarkspring.gateway.internal;

import java.util.Map;

import org.skylarkspring.gateway.policy.SseEvent;

/**
 * Passes the events of streams on and watches their pauses.
 */
final class StreamRelay {

	/** Pause of a stream, in aims of the route, that is worth a line. */
	private static final int STALL_LATENCY_FACTOR = 2;

	private final GatewayContext context;

	private final ActiveRequestRegistry activeRequests;

	StreamRelay(GatewayContext context, ActiveRequestRegistry activeRequests) {
		this.context = context;
		this.activeRequests = activeRequests;
	}

	/**
	 * An event of a stream has arrived.
	 * @param attempt the attempt it came from
	 * @param event the event
	 * @return whether the caller keeps up
	 */
	boolean relayEvent(ServerAttempt attempt, SseEvent event) {
		ActiveRequest call = attempt.activeRequest;
		long now = this.context.scheduler.nowMillis();
		if (!call.isCommitted()) {
			call.responseWriter.startResponse(attempt.response().getResponseCode(), attempt.responseHeaders());
			call.firstEventMillis = now;
			this.context.log.logRoutineRequest(now, call.id(), "stream started", Map.of("server",
					attempt.server.registration.id(), "route", call.route.name(), "millis", now - call.arrivedMillis));
			this.context.metrics.recordLatency(call.route.name(), now - call.arrivedMillis);
		}
		else if (call.lastEventMillis >= 0) {
			call.longestPauseMillis = Math.max(call.longestPauseMillis, now - call.lastEventMillis);
		}
		call.lastEventMillis = now;
		attempt.relayedEvents++;
		attempt.markPrefillComplete();
		call.eventOrder.recordDelivered(event);
		return call.responseWriter.write(event.bytes());
	}

	/**
	 * A stream has come to its proper end.
	 * @param attempt the attempt it came from
	 * @param rest bytes after the last whole event
	 */
	void completeStream(ServerAttempt attempt, byte[] rest) {
		ActiveRequest call = attempt.activeRequest;
		this.activeRequests.detachAttempt(attempt);
		attempt.server.recordSuccess();
		if (!call.isCommitted()) {
			call.responseWriter.startResponse(attempt.response().getResponseCode(), attempt.responseHeaders());
		}
		if (rest.length > 0) {
			call.responseWriter.write(rest);
		}
		this.context.metrics.recordLongestPause(call.route.name(), call.migration != null, call.longestPauseMillis);
		this.context.log.logRoutineRequest(this.context.scheduler.nowMillis(), call.id(), "stream complete",
				Map.of("server", attempt.server.registration.id(), "route", call.route.name(), "first-event-millis",
						call.firstEventMillis - call.arrivedMillis, "longest-pause-millis", call.longestPauseMillis,
						"events", call.eventOrder.lastDeliveredId().orElse(""), "carried", call.migration != null));
		this.activeRequests.finish(call, "completed");
		call.responseWriter.end();
	}

	/** Writes a line for each stream that stands still, once for each pause. */
	void logStalledStreams() {
		long now = this.context.scheduler.nowMillis();
		this.activeRequests.requests()
			.stream()
			.filter((call) -> call.route.semantics().isStreaming() && call.attempt != null)
			.filter((call) -> stalledMillis(call, now) > STALL_LATENCY_FACTOR * call.route.targetLatencyMillis())
			.filter((call) -> call.loggedStallEventMillis != call.lastEventMillis)
			.forEach((call) -> {
				call.loggedStallEventMillis = call.lastEventMillis;
				this.context.log.logRequest(call.id(), "stream stands still",
						Map.of("server", call.attempt.server.registration.id(), "millis", stalledMillis(call, now),
								"head-received", call.attempt.hasResponse(), "last-event",
								call.eventOrder.lastDeliveredId().orElse(""), "bytes-pending",
								call.responseWriter.pendingBytes()));
			});
	}

	private static long stalledMillis(ActiveRequest call, long now) {
		return now - Math.max(call.lastEventMillis, call.arrivedMillis);
	}

}
