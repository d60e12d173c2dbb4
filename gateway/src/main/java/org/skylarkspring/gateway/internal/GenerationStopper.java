package org.skylarkspring.gateway.internal;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.StopResult;

/**
 * Makes servers release generations that other servers are to continue. Closing a
 * connection does not show that a server has stopped: it may never learn of it, or looks
 * only between two steps.
 */
final class GenerationStopper {

	final Scheduler scheduler;

	final DecisionLog log;

	final GatewayMetrics metrics;

	final Caller stopOrder;

	private final BiConsumer<ServerEntry, String> copyReleaser;

	/**
	 * Creates the component.
	 * @param scheduler clock and timers
	 * @param log decision log
	 * @param metrics metrics
	 * @param stopOrder orders a server to stop a generation
	 * @param copyReleaser frees a copy that nobody uses, by its handle
	 */
	GenerationStopper(Scheduler scheduler, DecisionLog log, GatewayMetrics metrics, Caller stopOrder,
			BiConsumer<ServerEntry, String> copyReleaser) {
		this.scheduler = scheduler;
		this.log = log;
		this.metrics = metrics;
		this.stopOrder = stopOrder;
		this.copyReleaser = copyReleaser;
	}

	/**
	 * Makes a server release a generation. The caller of this method reports the events
	 * and the end of the stream to the release.
	 * @param requestId id of the request
	 * @param source server that runs the generation
	 * @param next server that is to continue it
	 * @param streamOpen whether the server sends the stream of the generation
	 * @param obsolete whether the source continues the generation again, which then must
	 * not be stopped
	 * @param onReleased receives the outcome, at most once
	 * @param onLateAnswer receives an answer that comes after the outcome
	 * @return the release
	 */
	GenerationRelease release(String requestId, ServerEntry source, ServerEntry next, boolean streamOpen,
			BooleanSupplier obsolete, Consumer<ReleaseOutcome> onReleased, Consumer<StopResult.Stopped> onLateAnswer) {
		GenerationRelease release = new GenerationRelease(this, requestId, source, next, streamOpen, obsolete,
				onReleased, onLateAnswer);
		release.start();
		return release;
	}

	/**
	 * Makes sure that a server has stopped a generation whose stream was lost.
	 * @param requestId id of the request
	 * @param source server that ran the generation
	 * @param next server that is to continue it
	 * @param obsolete whether the source continues the generation again, which then must
	 * not be stopped
	 * @param onReleased receives the outcome, at most once
	 * @return the release
	 */
	GenerationRelease stopAfterLoss(String requestId, ServerEntry source, ServerEntry next, BooleanSupplier obsolete,
			Consumer<ReleaseOutcome> onReleased) {
		return release(requestId, source, next, false, obsolete, onReleased,
				(answer) -> this.copyReleaser.accept(source, answer.handle()));
	}

	/**
	 * Orders a server to stop a generation.
	 */
	@FunctionalInterface
	interface Caller {

		/**
		 * Sends the order.
		 * @param requestId id of the request
		 * @param source server that runs the generation
		 * @param next server that is to continue it
		 * @param connectTimeoutMillis longest time until the connection is established,
		 * in milliseconds
		 * @param timeoutMillis longest time until the whole response is received, in
		 * milliseconds
		 * @param onResult receives the response, exactly once, and its meaning
		 */
		void send(String requestId, ServerEntry source, ServerEntry next, long connectTimeoutMillis, long timeoutMillis,
				ResultConsumer onResult);

	}

	/**
	 * Receives the response to an order.
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

}
