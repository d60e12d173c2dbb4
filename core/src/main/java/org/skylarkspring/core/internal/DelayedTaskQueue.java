package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Queue of tasks that run in a later step, after a delay.
 */
final class DelayedTaskQueue {

	private final CoreContext context;

	private final PriorityQueue<DelayedTask> tasks = new PriorityQueue<>(
			Comparator.comparingLong(DelayedTask::dueMillis).thenComparingLong(DelayedTask::sequence));

	private long lastSequence;

	DelayedTaskQueue(CoreContext context) {
		this.context = context;
	}

	void schedule(long delayMillis, Runnable task) {
		this.lastSequence++;
		this.tasks.add(new DelayedTask(this.context.nowMillis + delayMillis, this.lastSequence, task));
	}

	void runDueTasks() {
		while (!this.tasks.isEmpty() && this.tasks.peek().dueMillis() <= this.context.nowMillis) {
			this.tasks.poll().task().run();
		}
	}

	private record DelayedTask(long dueMillis, long sequence, Runnable task) {
	}

}
