package org.skylarkspring.core.internal;

/**
 * Tells a system when it is due again.
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
