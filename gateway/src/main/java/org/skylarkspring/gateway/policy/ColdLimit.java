package org.skylarkspring.gateway.policy;

/**
 * This instance's share of the requests that a cold server may get from all instances
 * together in any second.
 */
public final class ColdLimit {

	private static final double MILLIS_PER_SECOND = 1_000;

	private double tokens;

	private long refilledMillis;

	private boolean started;

	/**
	 * Takes one request from the share if there is one left.
	 * @param nowMillis current time
	 * @param requestsPerSecond rate for all instances together
	 * @param instances number of instances that may send to the server, at least 1
	 * @return whether the request may be sent
	 */
	public boolean tryTake(long nowMillis, double requestsPerSecond, int instances) {
		double rate = requestsPerSecond / instances;
		double burst = Math.max(1, rate / 2);
		if (!this.started) {
			this.started = true;
			this.tokens = 1;
		}
		else {
			double refill = rate * (nowMillis - this.refilledMillis) / MILLIS_PER_SECOND;
			this.tokens = Math.min(burst, this.tokens + refill);
		}
		this.refilledMillis = nowMillis;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
