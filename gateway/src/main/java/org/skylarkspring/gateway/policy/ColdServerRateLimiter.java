package org.skylarkspring.gateway.policy;

/**
 * Token bucket for the requests that this instance may send to a cold server. The rate is
 * this instance's share of the requests per second that the server accepts from all
 * instances together. The bucket holds the permits of half a second, at least one,
 * because the server accepts 1.5 times its rate plus a fixed allowance in any second.
 */
public final class ColdServerRateLimiter {

	private static final double MILLIS_PER_SECOND = 1_000;

	private double availablePermits;

	private long lastRefillMillis;

	private boolean initialized;

	/**
	 * Acquires a permit for one request if one is available.
	 * @param nowMillis current time in milliseconds
	 * @param requestsPerSecond rate that all instances share
	 * @param instances number of instances that may send to the server, at least 1
	 * @return whether the request may be sent
	 */
	public boolean tryAcquire(long nowMillis, double requestsPerSecond, int instances) {
		double rate = requestsPerSecond / instances;
		double burst = Math.max(1, rate / 2);
		if (!this.initialized) {
			this.initialized = true;
			this.availablePermits = 1;
		}
		else {
			double refill = rate * (nowMillis - this.lastRefillMillis) / MILLIS_PER_SECOND;
			this.availablePermits = Math.min(burst, this.availablePermits + refill);
		}
		this.lastRefillMillis = nowMillis;
		if (this.availablePermits < 1) {
			return false;
		}
		this.availablePermits -= 1;
		return true;
	}

}
