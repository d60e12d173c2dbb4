package org.skylarkspring.gateway.policy;

/**
 * This instance's share of the requests that a cold server may get from all instances
 * together in any second.
 */
public final class ColdServerRateLimiter {

	private static final double MILLIS_PER_SECOND = 1_000;

	private double availablePermits;

	private long lastRefillMillis;

	private boolean initialized;

	/**
	 * Takes one request from the share if there is one left.
	 * @param nowMillis current time
	 * @param requestsPerSecond rate for all instances together
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
