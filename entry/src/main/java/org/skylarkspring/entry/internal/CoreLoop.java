package org.skylarkspring.entry.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.skylarkspring.core.DecisionCore;
import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.action.ActionHandler;
import org.skylarkspring.core.event.Event;

/**
 * Runs the decision core on its own thread: collects events, steps the core and passes
 * its actions to the action handler.
 */
final class CoreLoop {

	private static final Logger logger = LoggerFactory.getLogger(CoreLoop.class);

	private static final long MAXIMUM_STEP_INTERVAL_MILLIS = 20;

	private static final int MAXIMUM_EVENTS_PER_STEP = 1_000;

	private final DecisionCore core;

	private final ActionHandler actionHandler;

	private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();

	private final LinkedBlockingQueue<Runnable> queries = new LinkedBlockingQueue<>();

	private final Thread thread = new Thread(this::run, "core");

	private volatile boolean stopped;

	CoreLoop(DecisionCore core, ActionHandler actionHandler) {
		this.core = core;
		this.actionHandler = actionHandler;
	}

	void start() {
		this.thread.setDaemon(true);
		this.thread.start();
	}

	void stop() {
		this.stopped = true;
	}

	void post(Event event) {
		this.events.add(event);
	}

	/**
	 * Runs a query on the core's thread between two steps.
	 * @param query reads from the core
	 * @param <T> type of the result
	 * @return a future of the result of the query
	 */
	<T> CompletableFuture<T> query(Function<DecisionCore, T> query) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.queries.add(() -> result.complete(query.apply(this.core)));
		return result;
	}

	static long monotonicMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private void run() {
		while (!this.stopped) {
			try {
				step();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			catch (RuntimeException ex) {
				logger.error("decision core step failed, continuing with the next step", ex);
			}
		}
	}

	private void step() throws InterruptedException {
		List<Event> batch = new ArrayList<>();
		Event first = this.events.poll(MAXIMUM_STEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		if (first != null) {
			batch.add(first);
			this.events.drainTo(batch, MAXIMUM_EVENTS_PER_STEP);
		}
		for (Action action : this.core.step(batch, monotonicMillis())) {
			action.accept(this.actionHandler);
		}
		Runnable query = this.queries.poll();
		while (query != null) {
			query.run();
			query = this.queries.poll();
		}
	}

}
