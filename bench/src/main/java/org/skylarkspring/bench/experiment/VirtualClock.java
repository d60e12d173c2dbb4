package org.skylarkspring.bench.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A simulated clock that advances directly to the due time of the next task. Tasks due at
 * the same time run in the order in which they were scheduled.
 */
public final class VirtualClock {

	/** Microseconds per millisecond. */
	public static final long MICROS_PER_MILLI = 1_000;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::dueMicros).thenComparingLong(Task::sequence));

	private long nowMicros;

	private long lastSequence;

	/**
	 * Returns the current time in microseconds.
	 * @return microseconds since the start of the simulation
	 */
	public long nowMicros() {
		return this.nowMicros;
	}

	/**
	 * Returns the current time in milliseconds.
	 * @return milliseconds since the start of the simulation
	 */
	public long nowMillis() {
		return this.nowMicros / MICROS_PER_MILLI;
	}

	/**
	 * Schedules a task.
	 * @param delayMicros delay from now in microseconds; a negative delay counts as 0
	 * @param task the task
	 */
	public void schedule(long delayMicros, Runnable task) {
		this.lastSequence++;
		this.tasks.add(new Task(this.nowMicros + Math.max(0, delayMicros), this.lastSequence, task));
	}

	/**
	 * Runs a task periodically.
	 * @param initialDelayMicros delay of the first run in microseconds
	 * @param periodMicros time between two runs in microseconds
	 * @param task the task
	 */
	public void schedulePeriodically(long initialDelayMicros, long periodMicros, Runnable task) {
		schedule(initialDelayMicros, () -> {
			task.run();
			schedulePeriodically(periodMicros, periodMicros, task);
		});
	}

	/**
	 * Runs all tasks that are due up to a time and advances the clock to it.
	 * @param untilMillis the time, in milliseconds since the start of the simulation
	 */
	public void runUntil(long untilMillis) {
		long untilMicros = untilMillis * MICROS_PER_MILLI;
		while (!this.tasks.isEmpty() && this.tasks.peek().dueMicros() <= untilMicros) {
			Task next = this.tasks.poll();
			this.nowMicros = next.dueMicros();
			next.task().run();
		}
		this.nowMicros = untilMicros;
	}

	private record Task(long dueMicros, long sequence, Runnable task) {
	}

}
