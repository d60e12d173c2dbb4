package org.skylarkspring.gateway.policy;

/**
 * Token bucket for this instance's share of a request rate that a server accepts from all
 * instances together. It starts with one permit and holds the permits of a given time, at
 * least one.
 */
public final class SharedRateLimiter {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final double burstSeconds;

	private double availablePermits = 1;

	private long lastRefillMillis;

	private boolean started;

	/**
	 * Creates a limiter.
	 * @param burstSeconds time whose permits may be saved up, in seconds
	 */
	public SharedRateLimiter(double burstSeconds) {
		this.burstSeconds = burstSeconds;
	}

	/**
	 * Acquires a permit for one request if one is available.
	 * @param nowMillis current time in milliseconds
	 * @param requestsPerSecond rate that all instances share
	 * @param instances number of instances that may send to the server, at least 1
	 * @return whether the request may be sent
	 */
	public boolean tryAcquire(long nowMillis, double requestsPerSecond, int instances) {
		refill(nowMillis, requestsPerSecond / instances);
		if (this.availablePermits < 1) {
			return false;
		}
		this.availablePermits -= 1;
		return true;
	}

	/**
	 * Returns the time until a permit is available.
	 * @param nowMillis current time in milliseconds
	 * @param requestsPerSecond rate that all instances share
	 * @param instances number of instances that may send to the server, at least 1
	 * @return the time in milliseconds, 0 if one is available now
	 */
	public long millisUntilPermit(long nowMillis, double requestsPerSecond, int instances) {
		double rate = requestsPerSecond / instances;
		refill(nowMillis, rate);
		return (long) Math.ceil(Math.max(0, 1 - this.availablePermits) / rate * MILLIS_PER_SECOND);
	}

	private void refill(long nowMillis, double rate) {
		if (this.started) {
			double refill = rate * (nowMillis - this.lastRefillMillis) / MILLIS_PER_SECOND;
			double burst = Math.max(1, rate * this.burstSeconds);
			this.availablePermits = Math.min(burst, this.availablePermits + refill);
		}
		this.started = true;
		this.lastRefillMillis = nowMillis;
	}

}
