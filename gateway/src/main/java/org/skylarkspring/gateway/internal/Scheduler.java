package org.skylarkspring.gateway.internal;

/**
 * Time and timers of the thread that owns the gateway.
 */
interface Scheduler {

	/**
	 * Returns the reading of the steady clock.
	 * @return milliseconds since an arbitrary moment
	 */
	long nowMillis();

	/**
	 * Returns the time of day.
	 * @return milliseconds since the epoch
	 */
	long epochMillis();

	/**
	 * Runs a task later on the owning thread.
	 * @param millis time until then
	 * @param task the task
	 * @return the timer, to withdraw the task
	 */
	Timer schedule(long millis, Runnable task);

	/**
	 * A task that has not run yet.
	 */
	@FunctionalInterface
	interface Timer {

		/** Withdraws the task; without effect once it has run. */
		void cancel();

	}

}
