package org.skylarkspring.gateway.internal;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * {@link Scheduler} whose time advances only when a test requests it.
 */
final class VirtualTimeScheduler implements Scheduler {

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::dueAtMillis).thenComparingLong(Task::sequence));

	private long currentMillis = 1_000;

	private long suspendedMillis;

	private long lastSequence;

	@Override
	public long nowMillis() {
		return this.currentMillis;
	}

	@Override
	public long epochMillis() {
		return EPOCH_MILLIS + this.currentMillis + this.suspendedMillis;
	}

	@Override
	public Timer schedule(long millis, Runnable task) {
		this.lastSequence++;
		Task added = new Task(this.currentMillis + Math.max(0, millis), this.lastSequence, task);
		this.tasks.add(added);
		return () -> this.tasks.remove(added);
	}

	@Override
	public Timer scheduleTimeout(long millis, Runnable task) {
		return schedule(millis, task);
	}

	/**
	 * Advances the time and runs the tasks that become due.
	 * @param millis time to advance, in milliseconds
	 */
	void advance(long millis) {
		long end = this.currentMillis + millis;
		while (!this.tasks.isEmpty() && this.tasks.peek().dueAtMillis() <= end) {
			Task next = this.tasks.poll();
			this.currentMillis = Math.max(this.currentMillis, next.dueAtMillis());
			next.task().run();
		}
		this.currentMillis = end;
	}

	/**
	 * Advances the wall-clock time only. The monotonic clock and the timers do not
	 * advance, as while a process is suspended.
	 * @param millis time to advance, in milliseconds
	 */
	void advanceWallClockOnly(long millis) {
		this.suspendedMillis += millis;
	}

	private record Task(long dueAtMillis, long sequence, Runnable task) {
	}

}
