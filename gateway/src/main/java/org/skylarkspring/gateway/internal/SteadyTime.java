package org.skylarkspring.gateway.internal;

import java.util.concurrent.TimeUnit;

import org.xnio.XnioIoThread;

/**
 * Time and timers of the thread that owns the gateway.
 */
final class SteadyTime {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final XnioIoThread ioThread;

	SteadyTime(XnioIoThread ioThread) {
		this.ioThread = ioThread;
	}

	long nowMillis() {
		return System.nanoTime() / NANOS_PER_MILLI;
	}

	XnioIoThread.Key after(long millis, Runnable task) {
		return this.ioThread.executeAfter(task, Math.max(0, millis), TimeUnit.MILLISECONDS);
	}

}
