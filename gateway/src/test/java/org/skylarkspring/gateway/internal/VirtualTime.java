package org.skylarkspring.gateway.internal;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Time that moves only when a test says so.
 */
final class VirtualTime implements TimeSource {

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));

	private long now = 1_000;

	private long suspended;

	private long number;

	@Override
	public long nowMillis() {
		return this.now;
	}

	@Override
	public long epochMillis() {
		return EPOCH_MILLIS + this.now + this.suspended;
	}

	@Override
	public Timer after(long millis, Runnable task) {
		this.number++;
		Task added = new Task(this.now + Math.max(0, millis), this.number, task);
		this.tasks.add(added);
		return () -> this.tasks.remove(added);
	}

	/**
	 * Lets time pass and runs what falls due.
	 * @param millis how much
	 */
	void pass(long millis) {
		long end = this.now + millis;
		while (!this.tasks.isEmpty() && this.tasks.peek().atMillis() <= end) {
			Task next = this.tasks.poll();
			this.now = Math.max(this.now, next.atMillis());
			next.task().run();
		}
		this.now = end;
	}

	/**
	 * Lets the time of day go on while the steady clock and timers stand still.
	 * @param millis how much
	 */
	void suspend(long millis) {
		this.suspended += millis;
	}

	private record Task(long atMillis, long number, Runnable task) {
	}

}
