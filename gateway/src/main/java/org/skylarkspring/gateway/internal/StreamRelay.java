package org.skylarkspring.gateway.internal;

import java.util.Map;

import org.skylarkspring.gateway.policy.StreamEvent;

/**
 * Passes the events of streams on and watches their pauses.
 */
final class StreamRelay {

	/** Pause of a stream, in aims of the route, that is worth a line. */
	private static final int STALL_AIMS = 2;

	private final GatewayContext context;

	private final CallEndings endings;

	StreamRelay(GatewayContext context, CallEndings endings) {
		this.context = context;
		this.endings = endings;
	}

	/**
	 * An event of a stream has arrived.
	 * @param attempt the attempt it came from
	 * @param event the event
	 * @return whether the caller keeps up
	 */
	boolean passOn(ServerAttempt attempt, StreamEvent event) {
		Call call = attempt.call;
		long now = this.context.time.nowMillis();
		if (!call.committed()) {
			call.answer.start(attempt.response().getResponseCode(), attempt.answerHeaders());
			call.firstEventMillis = now;
			this.context.log.routine(now, call.id(), "stream started", Map.of("server", attempt.entry.listing.id(),
					"route", call.route.name(), "millis", now - call.arrivedMillis));
			this.context.metrics.latency(call.route.name(), now - call.arrivedMillis);
		}
		else if (call.lastEventMillis >= 0) {
			call.longestPauseMillis = Math.max(call.longestPauseMillis, now - call.lastEventMillis);
		}
		call.lastEventMillis = now;
		attempt.events++;
		attempt.promptRead();
		call.order.delivered(event);
		return call.answer.write(event.bytes());
	}

	/**
	 * A stream has come to its proper end.
	 * @param attempt the attempt it came from
	 * @param rest bytes after the last whole event
	 */
	void streamEnded(ServerAttempt attempt, byte[] rest) {
		Call call = attempt.call;
		this.endings.detach(attempt);
		attempt.entry.succeeded();
		if (!call.committed()) {
			call.answer.start(attempt.response().getResponseCode(), attempt.answerHeaders());
		}
		if (rest.length > 0) {
			call.answer.write(rest);
		}
		this.context.metrics.longestPause(call.route.name(), call.carryOver != null, call.longestPauseMillis);
		this.context.log.routine(this.context.time.nowMillis(), call.id(), "stream complete",
				Map.of("server", attempt.entry.listing.id(), "route", call.route.name(), "first-event-millis",
						call.firstEventMillis - call.arrivedMillis, "longest-pause-millis", call.longestPauseMillis,
						"events", call.order.lastId().orElse(""), "carried", call.carryOver != null));
		this.endings.finish(call, "completed");
		call.answer.end();
	}

	/** Writes a line for each stream that stands still, once for each pause. */
	void reportStalls() {
		long now = this.context.time.nowMillis();
		this.endings.calls()
			.stream()
			.filter((call) -> call.route.kind().streamed() && call.attempt != null)
			.filter((call) -> stalledMillis(call, now) > STALL_AIMS * call.route.targetLatencyMillis())
			.filter((call) -> call.reportedStallMillis != call.lastEventMillis)
			.forEach((call) -> {
				call.reportedStallMillis = call.lastEventMillis;
				this.context.log.request(call.id(), "stream stands still",
						Map.of("server", call.attempt.entry.listing.id(), "millis", stalledMillis(call, now),
								"head-received", call.attempt.answered(), "last-event", call.order.lastId().orElse(""),
								"bytes-pending", call.answer.pendingBytes()));
			});
	}

	private static long stalledMillis(Call call, long now) {
		return now - Math.max(call.lastEventMillis, call.arrivedMillis);
	}

}
