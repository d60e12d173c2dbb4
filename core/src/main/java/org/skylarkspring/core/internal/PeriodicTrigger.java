package org.skylarkspring.core.internal;

/**
 * Fires at most once per period. The current time is passed to each check.
 */
final class PeriodicTrigger {

	private final long periodMillis;

	private long nextFireMillis = Long.MIN_VALUE;

	PeriodicTrigger(long periodMillis) {
		this.periodMillis = periodMillis;
	}

	boolean fireIfDue(long nowMillis) {
		if (nowMillis < this.nextFireMillis) {
			return false;
		}
		this.nextFireMillis = nowMillis + this.periodMillis;
		return true;
	}

}
