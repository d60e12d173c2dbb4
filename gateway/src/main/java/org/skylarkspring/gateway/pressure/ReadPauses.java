package org.skylarkspring.gateway.pressure;

/**
 * Times in which the response of a server was not read because its caller is slow. A
 * server cuts a response that remains unread for some seconds, which is then no failure
 * of the server.
 */
public final class ReadPauses {

	/** Shorter than the time after which servers cut unread responses. */
	static final long MINIMUM_PAUSED_MILLIS = 1_000;

	/**
	 * Time after a pause in which its effects are noticed: what the server sent before is
	 * read first.
	 */
	static final long NOTICE_MILLIS = 2_000;

	private boolean paused;

	private long pausedSinceMillis;

	private long lastPauseEndMillis = Long.MIN_VALUE / 2;

	private long totalPausedMillis;

	/**
	 * Records that reading stops.
	 * @param nowMillis current time in milliseconds
	 */
	public void pause(long nowMillis) {
		if (!this.paused) {
			this.paused = true;
			this.pausedSinceMillis = nowMillis;
		}
	}

	/**
	 * Records that reading goes on.
	 * @param nowMillis current time in milliseconds
	 */
	public void resume(long nowMillis) {
		if (this.paused) {
			this.paused = false;
			this.totalPausedMillis += nowMillis - this.pausedSinceMillis;
			this.lastPauseEndMillis = nowMillis;
		}
	}

	/**
	 * Returns whether a response that ends now may have been cut because it was not read
	 * in time.
	 * @param nowMillis current time in milliseconds
	 * @return {@code false} if the server had no reason to cut it
	 */
	public boolean mayHaveCausedCut(long nowMillis) {
		long currentMillis = this.paused ? nowMillis - this.pausedSinceMillis : 0;
		boolean recent = this.paused || nowMillis - this.lastPauseEndMillis <= NOTICE_MILLIS;
		return recent && this.totalPausedMillis + currentMillis >= MINIMUM_PAUSED_MILLIS;
	}

}
