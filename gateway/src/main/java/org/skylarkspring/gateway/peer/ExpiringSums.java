package org.skylarkspring.gateway.peer;

/**
 * Sums received from the other instances, which count only for as long as load reports
 * do.
 *
 * @param <T> the type of the sums
 */
public final class ExpiringSums<T> {

	/** Time after which reports of instances expire. */
	private static final long TTL_MILLIS = 2_000;

	private final T none;

	private T sums;

	private long receivedMillis;

	/**
	 * Creates a holder without sums.
	 * @param none value while there are no sums
	 */
	public ExpiringSums(T none) {
		this.none = none;
		this.sums = none;
	}

	/**
	 * Replaces the sums.
	 * @param received the sums received
	 * @param nowMillis current time in milliseconds
	 */
	public void set(T received, long nowMillis) {
		this.sums = received;
		this.receivedMillis = nowMillis;
	}

	/**
	 * Returns the sums.
	 * @param nowMillis current time in milliseconds
	 * @return the sums, the value for none if they have expired
	 */
	public T current(long nowMillis) {
		return (nowMillis - this.receivedMillis < TTL_MILLIS) ? this.sums : this.none;
	}

}
