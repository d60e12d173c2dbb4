package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.skylarkspring.gateway.http.DeliveryStatus;
import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.StopResult;

/**
 * Obtains the proof that a server has stopped a generation. The server is ordered to stop
 * it until it answers with the KV cache that it kept, or ends the stream.
 * <p>
 * That a server does not know a generation is no proof while its stream is open: a
 * generation that was preempted is unknown to it, and goes on later. Neither is a refused
 * or reset connection. Once the stream is lost, it counts if a server does not know the
 * generation for some time, or refuses connections.
 */
final class GenerationRelease {

	private static final long CONNECT_TIMEOUT_MILLIS = 100;

	/**
	 * Longest wait for the answer to an order, which comes when the final copy is
	 * complete.
	 */
	private static final long ANSWER_TIMEOUT_MILLIS = 3_000;

	/** Time after which an order is repeated on a new connection. */
	private static final long UNANSWERED_DELAY_MILLIS = 60;

	/** Delay of the next order after one that had no effect. Doubles each time. */
	private static final long REPEAT_DELAY_MILLIS = 20;

	private static final long MAXIMUM_REPEAT_DELAY_MILLIS = 200;

	/**
	 * Longest delay while the generation stands still until the server has stopped it. A
	 * server may lose hundreds of streams at once, so that their orders must not pile up.
	 */
	private static final long MAXIMUM_URGENT_DELAY_MILLIS = 100;

	/**
	 * Time for which a server whose stream was lost has to say that it does not know the
	 * generation. Preempted generations go on sooner.
	 */
	private static final long UNKNOWN_MILLIS = 2_000;

	/**
	 * Longest time between two such answers. A generation that runs for a while in
	 * between would be missed otherwise.
	 */
	private static final long MAXIMUM_UNKNOWN_GAP_MILLIS = 250;

	/** Number of connections in succession that a server refuses if it has ended. */
	private static final int REFUSALS_OF_ENDED_SERVER = 2;

	/**
	 * Time without any sign of a server, or with refused connections only, after which it
	 * is unreachable.
	 */
	private static final long SILENCE_MILLIS = 3_000;

	/**
	 * Time after the loss of the stream after which a server that was reached but does
	 * not stop is given up.
	 */
	private static final long MAXIMUM_MILLIS = 5_000;

	private final GenerationStopper stopper;

	private final String requestId;

	private final ServerEntry source;

	private final ServerEntry next;

	/** Whether the generation runs on the server again, so that no order may be sent. */
	private final BooleanSupplier obsolete;

	private final Consumer<ReleaseOutcome> onReleased;

	/** Receives the answer to an order that comes after the release. */
	private final Consumer<StopResult.Stopped> onLateAnswer;

	private final long startedMillis;

	private boolean streamOpen;

	/** Time of the last event while the stream is open, then of its loss. */
	private long lastSignOfStreamMillis;

	private long lastReachedMillis;

	/** Time since which the server does not know the generation, -1 if it does. */
	private long unknownSinceMillis = -1;

	private long lastUnknownMillis;

	private int refusals;

	private int orders;

	private int unansweredOrders;

	private long repeatDelayMillis = REPEAT_DELAY_MILLIS;

	private boolean released;

	private boolean abandoned;

	/** Whether orders go on after the release, because it was not certain. */
	private boolean uncertain;

	/** Whether it was concluded without a sign of the server that it had stopped. */
	private boolean seemedEnded;

	private Scheduler.Timer repeatTimer = () -> {
	};

	GenerationRelease(GenerationStopper stopper, String requestId, ServerEntry source, ServerEntry next,
			boolean streamOpen, BooleanSupplier obsolete, Consumer<ReleaseOutcome> onReleased,
			Consumer<StopResult.Stopped> onLateAnswer) {
		this.stopper = stopper;
		this.requestId = requestId;
		this.source = source;
		this.next = next;
		this.streamOpen = streamOpen;
		this.obsolete = obsolete;
		this.onReleased = onReleased;
		this.onLateAnswer = onLateAnswer;
		this.startedMillis = stopper.scheduler.nowMillis();
		this.lastReachedMillis = this.startedMillis;
		this.lastSignOfStreamMillis = this.startedMillis;
	}

	/** Sends the first order. */
	void start() {
		sendOrder();
	}

	/** Records an event of the stream, which shows that the server still runs it. */
	void onEvent() {
		recordSignOfStream();
	}

	private void recordSignOfStream() {
		this.lastSignOfStreamMillis = now();
		this.lastReachedMillis = now();
		this.unknownSinceMillis = -1;
	}

	/** Handles the end of the stream by its server, which ended it as ordered. */
	void onStreamEnded() {
		this.streamOpen = false;
		release(new ReleaseOutcome.Stopped(Optional.empty()), "stream ended", true);
	}

	/** Handles the loss of the stream, which does not show whether the server stopped. */
	void onStreamLost() {
		this.streamOpen = false;
		this.refusals = 0;
		this.repeatDelayMillis = REPEAT_DELAY_MILLIS;
		recordSignOfStream();
		if (isOrdering()) {
			this.repeatTimer.cancel();
			sendOrder();
		}
	}

	/**
	 * Gives up the release, because its request has ended. A generation that may run on
	 * for nobody is still ordered to stop, and what the server answers is reported.
	 */
	void abandon() {
		this.abandoned = true;
	}

	/**
	 * Returns whether an order may still reach the server, and stop a generation that has
	 * returned to it.
	 * @return {@code true} if an order has not been answered
	 */
	boolean hasUnansweredOrder() {
		return this.unansweredOrders > 0;
	}

	/**
	 * Returns whether the server does not run the generation any more.
	 * @return {@code true} if another server may run it
	 */
	boolean isReleased() {
		return this.released;
	}

	private void sendOrder() {
		if (this.obsolete.getAsBoolean()) {
			return;
		}
		this.orders++;
		this.unansweredOrders++;
		this.repeatTimer = this.stopper.scheduler.schedule(unansweredDelayMillis(), this::repeatUnanswered);
		this.stopper.stopOrder.send(this.requestId, this.source, this.next, CONNECT_TIMEOUT_MILLIS,
				ANSWER_TIMEOUT_MILLIS, this::onAnswer);
	}

	private void repeatUnanswered() {
		concludeIfOverdue("order not answered");
		nextRepeatDelayMillis();
		if (isOrdering()) {
			sendOrder();
		}
	}

	private void repeatOrder() {
		if (isOrdering()) {
			this.repeatTimer.cancel();
			this.repeatTimer = this.stopper.scheduler.schedule(nextRepeatDelayMillis(), this::sendOrder);
		}
	}

	private long nextRepeatDelayMillis() {
		boolean urgent = !this.streamOpen && !this.released;
		long delayMillis = this.repeatDelayMillis;
		this.repeatDelayMillis = Math.min(urgent ? MAXIMUM_URGENT_DELAY_MILLIS : MAXIMUM_REPEAT_DELAY_MILLIS,
				2 * delayMillis);
		return delayMillis;
	}

	private boolean isOrdering() {
		boolean waitedFor = this.streamOpen && !this.abandoned;
		boolean inTime = waitedFor || !isLongAgo(this.lastSignOfStreamMillis, MAXIMUM_MILLIS);
		return inTime && (!this.released || this.uncertain);
	}

	private long unansweredDelayMillis() {
		return Math.max(UNANSWERED_DELAY_MILLIS, this.repeatDelayMillis);
	}

	private void onAnswer(HttpTextResult response, StopResult result) {
		this.unansweredOrders--;
		recordContact(response, result);
		if (result instanceof StopResult.Stopped stopped) {
			onStopped(stopped);
			return;
		}
		if (this.abandoned && result instanceof StopResult.Unknown) {
			this.repeatTimer.cancel();
			return;
		}
		if (!this.released) {
			concludeIfEnded(result);
			concludeIfOverdue(String.valueOf(result));
		}
		repeatOrder();
	}

	private void recordContact(HttpTextResult response, StopResult result) {
		boolean refused = isConnectionRefused(response);
		boolean silent = response instanceof HttpTextResult.Failed failed
				&& failed.reason().equals(HttpClientCall.CONNECT_TIMEOUT_REASON);
		this.refusals = refused ? this.refusals + 1 : 0;
		recordUnknown(result instanceof StopResult.Unknown);
		if (!silent && !refused) {
			this.lastReachedMillis = now();
		}
	}

	private void recordUnknown(boolean unknown) {
		boolean again = this.unknownSinceMillis >= 0 && now() - this.lastUnknownMillis <= MAXIMUM_UNKNOWN_GAP_MILLIS;
		if (!unknown) {
			this.unknownSinceMillis = -1;
		}
		else if (!again) {
			this.unknownSinceMillis = now();
		}
		this.lastUnknownMillis = now();
	}

	private void onStopped(StopResult.Stopped answer) {
		this.repeatTimer.cancel();
		if (this.released) {
			if (this.seemedEnded) {
				log("generation stopped late", "still ran after the server had seemed to have stopped it");
			}
			this.uncertain = false;
			this.onLateAnswer.accept(answer);
			return;
		}
		if (this.abandoned) {
			this.onLateAnswer.accept(answer);
			return;
		}
		release(new ReleaseOutcome.Stopped(Optional.of(answer)), "stopped by the order", false);
	}

	private void concludeIfEnded(StopResult result) {
		if (this.streamOpen) {
			return;
		}
		boolean unknown = isLongAgo(this.unknownSinceMillis, UNKNOWN_MILLIS);
		if (this.refusals >= REFUSALS_OF_ENDED_SERVER) {
			release(new ReleaseOutcome.Ended(), "server has ended", true);
		}
		else if (unknown) {
			release(new ReleaseOutcome.Ended(), "server does not know the generation", true);
		}
	}

	private void concludeIfOverdue(String reason) {
		if (this.released) {
			return;
		}
		if (isLongAgo(this.lastReachedMillis, SILENCE_MILLIS)) {
			release(new ReleaseOutcome.Unreachable(), reason, true);
		}
		else if (!this.streamOpen && isLongAgo(this.lastSignOfStreamMillis, MAXIMUM_MILLIS)) {
			release(new ReleaseOutcome.StillRunning(), reason, false);
		}
	}

	private boolean isLongAgo(long sinceMillis, long millis) {
		return sinceMillis >= 0 && now() - sinceMillis >= millis;
	}

	private void release(ReleaseOutcome outcome, String reason, boolean uncertainOutcome) {
		if (this.released || this.abandoned) {
			return;
		}
		this.released = true;
		this.uncertain = uncertainOutcome;
		this.seemedEnded = !(outcome instanceof ReleaseOutcome.Stopped);
		this.streamOpen = false;
		recordSignOfStream();
		this.repeatTimer.cancel();
		if (uncertainOutcome && this.unansweredOrders == 0) {
			this.repeatTimer = this.stopper.scheduler.schedule(MAXIMUM_REPEAT_DELAY_MILLIS, this::sendOrder);
		}
		this.stopper.metrics.recordGenerationRelease(outcome.name(), elapsedMillis());
		log("generation released", outcome.name() + ": " + reason);
		this.onReleased.accept(outcome);
	}

	private void log(String decision, String reason) {
		Map<String, Object> fields = new HashMap<>();
		fields.put("server", this.source.registration.id());
		fields.put("next", this.next.registration.id());
		fields.put("reason", reason);
		fields.put("orders", this.orders);
		fields.put("millis", elapsedMillis());
		this.stopper.metrics.recordDecision(decision);
		this.stopper.log.logRequest(this.requestId, decision, fields);
	}

	private long elapsedMillis() {
		return now() - this.startedMillis;
	}

	private long now() {
		return this.stopper.scheduler.nowMillis();
	}

	private static boolean isConnectionRefused(HttpTextResult response) {
		return response instanceof HttpTextResult.Failed failed && failed.outcome() == DeliveryStatus.NOT_SENT
				&& failed.reason().equals(HttpClientCall.CONNECTION_REFUSED_REASON);
	}

}
