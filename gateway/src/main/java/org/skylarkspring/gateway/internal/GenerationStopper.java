package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.skylarkspring.gateway.http.DeliveryStatus;
import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.StopResult;

/**
 * Stops generations on servers that another server replaces. Closing the connection does
 * not show that a server has stopped: the server may never learn of it, or looks only
 * between two steps. It is therefore asked whether it still runs the generation, and
 * ordered to stop if it does, until it confirms that it does not.
 */
final class GenerationStopper {

	static final long CONNECT_TIMEOUT_MILLIS = 40;

	/** Time after which an unanswered call is repeated on a new connection. */
	static final long CALL_TIMEOUT_MILLIS = 60;

	private static final long REPEAT_DELAY_MILLIS = 10;

	/** Delay of further calls when nothing waits for the server any more. */
	private static final long LATE_REPEAT_DELAY_MILLIS = 200;

	/** Time that a server gets to notice a closed connection before it is asked. */
	private static final long NOTICE_DELAY_MILLIS = 20;

	/**
	 * Time after which a server that still runs the generation is ordered to stop. An
	 * order makes the server copy the KV cache once more.
	 */
	private static final long ORDER_DELAY_MILLIS = 100;

	/**
	 * Time without an established connection after which a server is considered
	 * unreachable. The order is repeated all the same.
	 */
	private static final long UNREACHABLE_AFTER_MILLIS = 120;

	/**
	 * Time after which a server that is reached but does not stop is given up, so that
	 * the next one can be cancelled instead.
	 */
	private static final long MAXIMUM_STOP_MILLIS = 280;

	/**
	 * Number of orders that a server has to leave without effect before it is given up.
	 */
	private static final int MINIMUM_ORDERS = 2;

	/** Time after which calls to a server are not repeated any more. */
	private static final long MAXIMUM_REPEAT_MILLIS = 5_000;

	/** A server that refuses that many connections in succession has ended. */
	private static final int REFUSED_CONNECTIONS_OF_ENDED_SERVER = 2;

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final GatewayMetrics metrics;

	private final Caller query;

	private final Caller stopOrder;

	private final BiConsumer<ServerEntry, String> copyReleaser;

	/**
	 * Creates the component.
	 * @param scheduler clock and timers
	 * @param log decision log
	 * @param metrics metrics
	 * @param query asks a server whether it runs a generation
	 * @param stopOrder orders a server to stop a generation
	 * @param copyReleaser releases a copy that a server made too late, by its handle
	 */
	GenerationStopper(Scheduler scheduler, DecisionLog log, GatewayMetrics metrics, Caller query, Caller stopOrder,
			BiConsumer<ServerEntry, String> copyReleaser) {
		this.scheduler = scheduler;
		this.log = log;
		this.metrics = metrics;
		this.query = query;
		this.stopOrder = stopOrder;
		this.copyReleaser = copyReleaser;
	}

	/**
	 * Makes sure that a server stops a generation whose connection has just been closed.
	 * @param requestId id of the request
	 * @param source server that runs the generation
	 * @param next server that continues it
	 * @param resumedOnSource whether the source continues the generation again, which
	 * then must not be stopped
	 * @param onStopped receives the outcome, at most once; not if the source continues
	 * the generation again
	 */
	void stopAfterClose(String requestId, ServerEntry source, ServerEntry next, BooleanSupplier resumedOnSource,
			Consumer<Outcome> onStopped) {
		Order order = new Order(requestId, source, next, resumedOnSource, onStopped);
		this.scheduler.schedule(NOTICE_DELAY_MILLIS, order::send);
	}

	/**
	 * Makes sure that a server has stopped a generation whose connection has failed.
	 * @param requestId id of the request
	 * @param source server that ran the generation
	 * @param next server that is to continue it
	 * @param resumedOnSource whether the source continues the generation again, which
	 * then must not be stopped
	 * @param onStopped receives the outcome, at most once; not if the source continues
	 * the generation again
	 */
	void stopAfterFailure(String requestId, ServerEntry source, ServerEntry next, BooleanSupplier resumedOnSource,
			Consumer<Outcome> onStopped) {
		new Order(requestId, source, next, resumedOnSource, onStopped).send();
	}

	/**
	 * What is known of a generation that was to stop.
	 */
	sealed interface Outcome {

		/**
		 * Returns the name of the outcome in metrics.
		 * @return the name
		 */
		String name();

		/**
		 * The server does not run the generation any more.
		 *
		 * @param handle identifier of the KV cache that the server kept because it had
		 * not noticed the closed connection, empty if the generation had ended before
		 */
		record Stopped(Optional<String> handle) implements Outcome {

			@Override
			public String name() {
				return this.handle.isPresent() ? "stopped by order" : "stopped";
			}

		}

		/** The server could not be reached, so nothing is known. */
		record Unreachable() implements Outcome {

			@Override
			public String name() {
				return "unreachable";
			}

		}

		/** The server was reached, but did not stop the generation. */
		record StillRunning() implements Outcome {

			@Override
			public String name() {
				return "still running";
			}

		}

	}

	/**
	 * Sends a call about a generation to its server.
	 */
	@FunctionalInterface
	interface Caller {

		/**
		 * Sends the call.
		 * @param requestId id of the request
		 * @param source server that runs the generation
		 * @param next server that continues it
		 * @param onResult receives the response, exactly once, and its meaning
		 */
		void send(String requestId, ServerEntry source, ServerEntry next, ResultConsumer onResult);

	}

	/**
	 * Receives the response to a call.
	 */
	@FunctionalInterface
	interface ResultConsumer {

		/**
		 * Handles a response.
		 * @param response the response
		 * @param result its meaning
		 */
		void accept(HttpTextResult response, StopResult result);

	}

	/**
	 * One generation that has to stop.
	 */
	private final class Order {

		private final String requestId;

		private final ServerEntry source;

		private final ServerEntry next;

		private final BooleanSupplier resumedOnSource;

		private final Consumer<Outcome> onStopped;

		private final long startedMillis = GenerationStopper.this.scheduler.nowMillis();

		private long lastReachedMillis = this.startedMillis;

		private int sends;

		private int orders;

		/** Whether the server has said once that it does not run the generation. */
		private boolean confirmed;

		private int refusedConnections;

		private boolean concluded;

		private Order(String requestId, ServerEntry source, ServerEntry next, BooleanSupplier resumedOnSource,
				Consumer<Outcome> onStopped) {
			this.requestId = requestId;
			this.source = source;
			this.next = next;
			this.resumedOnSource = resumedOnSource;
			this.onStopped = onStopped;
		}

		private void send() {
			if (this.resumedOnSource.getAsBoolean()) {
				repeat("resumed on the source");
				return;
			}
			this.sends++;
			if (elapsedMillis() < ORDER_DELAY_MILLIS) {
				GenerationStopper.this.query.send(this.requestId, this.source, this.next, this::onResult);
			}
			else {
				this.orders++;
				GenerationStopper.this.stopOrder.send(this.requestId, this.source, this.next, this::onResult);
			}
		}

		private void onResult(HttpTextResult response, StopResult result) {
			this.refusedConnections = isConnectionRefused(response) ? this.refusedConnections + 1 : 0;
			if (isReached(response)) {
				this.lastReachedMillis = GenerationStopper.this.scheduler.nowMillis();
			}
			if (result instanceof StopResult.Stopped stopped) {
				onConfirmed(stopped.handle());
			}
			else if (this.refusedConnections >= REFUSED_CONNECTIONS_OF_ENDED_SERVER) {
				onRefused();
			}
			else {
				concludeIfHopeless(String.valueOf(result));
				repeat(String.valueOf(result));
			}
		}

		// Connections to a server that lives may be refused for a moment.
		private void onRefused() {
			boolean checked = this.concluded;
			conclude(new Outcome.Stopped(Optional.empty()), "server has ended");
			if (!checked) {
				repeat("connection refused");
			}
		}

		// A first answer is checked once more: a server may not know a generation
		// that waits or was preempted.
		private void onConfirmed(Optional<String> handle) {
			if (this.concluded) {
				handle.ifPresent((unused) -> GenerationStopper.this.copyReleaser.accept(this.source, unused));
			}
			conclude(new Outcome.Stopped(handle), handle.isPresent() ? "stopped by the order" : "had ended");
			if (handle.isEmpty() && !this.confirmed) {
				this.confirmed = true;
				repeat("confirmed once");
			}
			else if (handle.isPresent() && this.confirmed) {
				logOutcome("generation stopped late", "still ran after the server had not known it");
			}
		}

		private void concludeIfHopeless(String reason) {
			if (this.resumedOnSource.getAsBoolean()) {
				return;
			}
			long unreachedMillis = GenerationStopper.this.scheduler.nowMillis() - this.lastReachedMillis;
			if (unreachedMillis >= UNREACHABLE_AFTER_MILLIS) {
				conclude(new Outcome.Unreachable(), reason);
			}
			else if (elapsedMillis() >= MAXIMUM_STOP_MILLIS && this.orders >= MINIMUM_ORDERS) {
				conclude(new Outcome.StillRunning(), reason);
			}
		}

		private void repeat(String reason) {
			if (elapsedMillis() >= MAXIMUM_REPEAT_MILLIS) {
				logOutcome("generation not confirmed as stopped", reason);
				return;
			}
			GenerationStopper.this.scheduler.schedule(this.concluded ? LATE_REPEAT_DELAY_MILLIS : REPEAT_DELAY_MILLIS,
					this::send);
		}

		private void conclude(Outcome outcome, String reason) {
			if (this.concluded) {
				return;
			}
			this.concluded = true;
			boolean routine = outcome instanceof Outcome.Stopped stopped && stopped.handle().isEmpty();
			if (!routine) {
				logOutcome("generation had to be stopped", outcome.name() + ": " + reason);
			}
			this.onStopped.accept(outcome);
		}

		private void logOutcome(String decision, String reason) {
			Map<String, Object> fields = new HashMap<>();
			fields.put("server", this.source.registration.id());
			fields.put("next", this.next.registration.id());
			fields.put("reason", reason);
			fields.put("sends", this.sends);
			fields.put("millis", elapsedMillis());
			GenerationStopper.this.metrics.recordDecision(decision);
			GenerationStopper.this.log.logRequest(this.requestId, decision, fields);
		}

		private long elapsedMillis() {
			return GenerationStopper.this.scheduler.nowMillis() - this.startedMillis;
		}

		private static boolean isReached(HttpTextResult response) {
			return !(response instanceof HttpTextResult.Failed failed) || failed.outcome() == DeliveryStatus.UNKNOWN;
		}

		private static boolean isConnectionRefused(HttpTextResult response) {
			return response instanceof HttpTextResult.Failed failed
					&& failed.reason().equals(HttpClientCall.CONNECTION_REFUSED_REASON);
		}

	}

}
