package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.skylarkspring.gateway.http.ResponseFraming;
import org.skylarkspring.gateway.policy.AttemptTimeouts;

/**
 * Finds out whether a stream that a server has ended in order is complete. A server that
 * breaks off a stream without length or chunks, or crashes, ends it in the same way as a
 * complete one, so that the server is probed after the end of such a stream.
 */
final class StreamEndCheck {

	/** A process that crashes may end its connections before it stops listening. */
	private static final long PROBE_DELAY_MILLIS = 20;

	private final GatewayContext context;

	private final ServerAttempt attempt;

	private final Consumer<Optional<String>> callback;

	/** Starts the probe of the server, {@code null} if there is none. */
	private Scheduler.Timer probeTimer;

	/** Probe of the server, {@code null} until it starts. */
	private ConnectionProbe probe;

	/**
	 * Creates a check, to be started by {@link #start}.
	 * @param context the context
	 * @param attempt the attempt that receives the stream
	 * @param callback receives why the stream is not complete, empty if it is; called
	 * exactly once unless the check is cancelled
	 */
	StreamEndCheck(GatewayContext context, ServerAttempt attempt, Consumer<Optional<String>> callback) {
		this.context = context;
		this.attempt = attempt;
		this.callback = callback;
	}

	/**
	 * Starts the check after the last byte of the stream. Only a probe takes time;
	 * without one, the callback is called before this method returns.
	 * @param insideEvent whether the last event is incomplete
	 * @param empty whether no event was received
	 */
	void start(boolean insideEvent, boolean empty) {
		Optional<String> truncation = describeTruncation(insideEvent, empty);
		if (truncation.isEmpty() && isEndedByClose()) {
			startProbe();
		}
		else {
			this.callback.accept(truncation);
		}
	}

	/** Cancels the check. Has no effect if it was not started or has ended. */
	void cancel() {
		if (this.probeTimer != null) {
			this.probeTimer.cancel();
		}
		if (this.probe != null) {
			this.probe.cancel();
		}
	}

	private Optional<String> describeTruncation(boolean insideEvent, boolean empty) {
		if (insideEvent) {
			return Optional.of("stream ended inside an event, framing " + this.attempt.framing());
		}
		if (!isEndedByClose()) {
			return Optional.empty();
		}
		if (empty) {
			return Optional.of("connection closed before the first event");
		}
		return isReleasing() ? Optional.of("connection closed while the server was to stop") : Optional.empty();
	}

	private boolean isEndedByClose() {
		return this.attempt.framing() == ResponseFraming.CONNECTION_CLOSE;
	}

	private boolean isReleasing() {
		GenerationMigration migration = this.attempt.activeRequest.migration;
		return migration != null && migration.source == this.attempt
				&& migration.stage == GenerationMigration.Stage.RELEASING;
	}

	private void startProbe() {
		ActiveRequest request = this.attempt.activeRequest;
		long timeoutMillis = AttemptTimeouts.connectTimeoutMillis(request.route.targetLatencyMillis(),
				request.deadlineMillis - this.context.scheduler.nowMillis());
		this.probeTimer = this.context.scheduler.schedule(PROBE_DELAY_MILLIS, () -> this.probe = ConnectionProbe
			.start(this.context.connector, this.attempt.server.registration.address(), timeoutMillis, this::onProbed));
	}

	private void onProbed(ConnectionProbe.Result result) {
		ActiveRequest request = this.attempt.activeRequest;
		this.context.metrics.recordDecision("end of a stream checked");
		this.context.log.logRoutineRequest(this.context.scheduler.nowMillis(), request.id(),
				"server checked after the end of its stream", Map.of("server", this.attempt.server.registration.id(),
						"result", result, "last-event", request.eventOrder.lastDeliveredId().orElse("")));
		this.callback.accept((result == ConnectionProbe.Result.REFUSED)
				? Optional.of("server refuses connections after the end of a stream without length")
				: Optional.empty());
	}

}
