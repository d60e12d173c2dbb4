package org.skylarkspring.core.internal;

/**
 * Tells a system when it is due again.
 */
final class Period {

	private final long periodMillis;

	private long nextMillis = Long.MIN_VALUE;

	Period(long periodMillis) {
		this.periodMillis = periodMillis;
	}

	boolean due(long nowMillis) {
		if (nowMillis < this.nextMillis) {
			return false;
		}
		this.nextMillis = nowMillis + this.periodMillis;
		return true;
	}

}
