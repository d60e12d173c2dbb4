package org.skylarkspring.gateway.internal;

import java.util.concurrent.TimeUnit;

import org.xnio.XnioIoThread;

import org.skylarkspring.gateway.http.TimeoutTimer;

/**
 * {@link Scheduler} that runs its tasks on an I/O thread.
 */
final class IoThreadScheduler implements Scheduler {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final XnioIoThread ioThread;

	IoThreadScheduler(XnioIoThread ioThread) {
		this.ioThread = ioThread;
	}

	@Override
	public long nowMillis() {
		return System.nanoTime() / NANOS_PER_MILLI;
	}

	@Override
	public long epochMillis() {
		return System.currentTimeMillis();
	}

	@Override
	public Timer schedule(long millis, Runnable task) {
		XnioIoThread.Key key = this.ioThread.executeAfter(task, Math.max(0, millis), TimeUnit.MILLISECONDS);
		return key::remove;
	}

	@Override
	public Timer scheduleTimeout(long millis, Runnable task) {
		return TimeoutTimer.start(this.ioThread, millis, task)::remove;
	}

}
