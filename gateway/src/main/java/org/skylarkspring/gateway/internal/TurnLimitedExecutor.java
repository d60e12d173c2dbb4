package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioIoThread;

import org.skylarkspring.gateway.http.PollSignal;

/**
 * Runs tasks on an I/O thread in the order of their arrival, for a limited time until the
 * thread has polled its sockets and handled what had arrived. A burst of tasks thus does
 * not delay the connections in use. The methods must be called on the I/O thread.
 */
final class TurnLimitedExecutor implements Executor {

	/** Time after which no further task is started before the next poll. */
	private static final long MAXIMUM_NANOS_PER_TURN = TimeUnit.MILLISECONDS.toNanos(5);

	private final Queue<Runnable> waitingTasks = new ArrayDeque<>();

	private final PollSignal pollSignal;

	private long usedNanos;

	private boolean pollRequested;

	TurnLimitedExecutor(XnioIoThread ioThread) throws IOException {
		this.pollSignal = new PollSignal(ioThread, this::onPolled);
	}

	@Override
	public void execute(Runnable task) {
		this.waitingTasks.add(task);
		runWaitingTasks();
	}

	int waitingTasks() {
		return this.waitingTasks.size();
	}

	private void onPolled() {
		this.pollRequested = false;
		this.usedNanos = 0;
		runWaitingTasks();
	}

	// The poll is requested first, so that a task that throws an exception does not stop
	// the others.
	private void runWaitingTasks() {
		if (!this.waitingTasks.isEmpty() && !this.pollRequested) {
			this.pollRequested = true;
			this.pollSignal.request();
		}
		while (!this.waitingTasks.isEmpty() && this.usedNanos < MAXIMUM_NANOS_PER_TURN) {
			run(this.waitingTasks.remove());
		}
	}

	private void run(Runnable task) {
		long startNanos = System.nanoTime();
		try {
			task.run();
		}
		finally {
			this.usedNanos += System.nanoTime() - startNanos;
		}
	}

}
