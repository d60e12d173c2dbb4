package org.skylarkspring.gateway.internal;

/**
 * Clock and timers of the thread that owns the state of the gateway.
 */
interface Scheduler {

	/**
	 * Returns the time of the monotonic clock.
	 * @return milliseconds since an arbitrary origin
	 */
	long nowMillis();

	/**
	 * Returns the wall-clock time.
	 * @return milliseconds since the epoch
	 */
	long epochMillis();

	/**
	 * Schedules a task on the owning thread.
	 * @param millis delay in milliseconds
	 * @param task the task to run
	 * @return a timer that can cancel the task
	 */
	Timer schedule(long millis, Runnable task);

	/**
	 * Schedules a task that gives up waiting for bytes of another process. If this thread
	 * was held up, what has arrived meanwhile is read before the task runs.
	 * @param millis timeout in milliseconds
	 * @param task the task to run
	 * @return a timer that can cancel the task
	 */
	Timer scheduleTimeout(long millis, Runnable task);

	/**
	 * A scheduled task that can be cancelled.
	 */
	@FunctionalInterface
	interface Timer {

		/** Cancels the task. Has no effect once the task has run. */
		void cancel();

	}

}
