package org.skylarkspring.bench.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that jumps from task to task. Tasks due at the same time run in the order in
 * which they were scheduled.
 */
public final class VirtualClock {

	/** Microseconds of one millisecond. */
	public static final long MICROS_PER_MILLI = 1_000;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::dueMicros).thenComparingLong(Task::sequence));

	private long nowMicros;

	private long lastSequence;

	/**
	 * Returns the time.
	 * @return microseconds since the start
	 */
	public long nowMicros() {
		return this.nowMicros;
	}

	/**
	 * Returns the time.
	 * @return milliseconds since the start
	 */
	public long nowMillis() {
		return this.nowMicros / MICROS_PER_MILLI;
	}

	/**
	 * Schedules a task.
	 * @param delayMicros delay from now, not negative
	 * @param task the task
	 */
	public void schedule(long delayMicros, Runnable task) {
		this.lastSequence++;
		this.tasks.add(new Task(this.nowMicros + Math.max(0, delayMicros), this.lastSequence, task));
	}

	/**
	 * Runs a task again and again.
	 * @param firstMicros delay of the first run
	 * @param periodMicros time between two runs
	 * @param task the task
	 */
	public void schedulePeriodically(long firstMicros, long periodMicros, Runnable task) {
		schedule(firstMicros, () -> {
			task.run();
			schedulePeriodically(periodMicros, periodMicros, task);
		});
	}

	/**
	 * Runs all tasks that are due up to a time.
	 * @param untilMillis the time
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
