package org.skylarkspring.gateway.http;

import java.util.concurrent.TimeUnit;

import org.xnio.XnioIoThread;

/**
 * Timer of a timeout on an I/O thread. The thread runs the timers that are due before it
 * reads what has arrived, so that a thread that was held up would act on a timeout
 * although the awaited bytes are there. A timer that runs late therefore waits once more,
 * for as long as it was late, because what held up the thread may have held up the other
 * side as well. All further waits together are not longer than the timeout.
 * <pre class="code">
 * XnioIoThread.Key timer = TimeoutTimer.start(ioThread, timeoutMillis, this::onTimeout);
 * </pre>
 */
public final class TimeoutTimer implements XnioIoThread.Key {

	/** Lateness that a busy thread reaches without being held up. */
	private static final long TOLERATED_LATENESS_MILLIS = 10;

	private final XnioIoThread ioThread;

	private final Runnable onTimeout;

	private long remainingExtensionMillis;

	private XnioIoThread.Key key;

	private boolean removed;

	private TimeoutTimer(XnioIoThread ioThread, long millis, Runnable onTimeout) {
		this.ioThread = ioThread;
		this.onTimeout = onTimeout;
		this.remainingExtensionMillis = Math.max(1, millis);
		schedule(Math.max(0, millis));
	}

	/**
	 * Starts a timer.
	 * @param ioThread thread that owns the call and runs the task
	 * @param millis timeout in milliseconds
	 * @param onTimeout task to run when the timeout is over
	 * @return the timer, which is cancelled by {@link #remove()}
	 */
	public static TimeoutTimer start(XnioIoThread ioThread, long millis, Runnable onTimeout) {
		return new TimeoutTimer(ioThread, millis, onTimeout);
	}

	@Override
	public boolean remove() {
		this.removed = true;
		return this.key.remove();
	}

	private void schedule(long millis) {
		long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		this.key = this.ioThread.executeAfter(() -> onDue(dueNanos), millis, TimeUnit.MILLISECONDS);
	}

	private void onDue(long dueNanos) {
		if (this.removed) {
			return;
		}
		long latenessMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueNanos);
		long extensionMillis = Math.min(latenessMillis, this.remainingExtensionMillis);
		if (latenessMillis < TOLERATED_LATENESS_MILLIS || extensionMillis == 0) {
			this.onTimeout.run();
			return;
		}
		this.remainingExtensionMillis -= extensionMillis;
		schedule(extensionMillis);
	}

}
