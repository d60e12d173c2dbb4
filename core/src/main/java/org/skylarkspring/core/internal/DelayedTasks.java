package org.skylarkspring.core.internal;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Tasks that run in a later step.
 */
final class DelayedTasks {

	private final CoreContext context;

	private final PriorityQueue<Delayed> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Delayed::dueMillis).thenComparingLong(Delayed::sequence));

	private long sequence;

	DelayedTasks(CoreContext context) {
		this.context = context;
	}

	void after(long delayMillis, Runnable task) {
		this.sequence++;
		this.tasks.add(new Delayed(this.context.nowMillis + delayMillis, this.sequence, task));
	}

	void tick() {
		while (!this.tasks.isEmpty() && this.tasks.peek().dueMillis() <= this.context.nowMillis) {
			this.tasks.poll().task().run();
		}
	}

	private record Delayed(long dueMillis, long sequence, Runnable task) {
	}

}
