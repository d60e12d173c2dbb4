package org.skylarkspring.gateway.internal;

import java.util.LinkedHashSet;
import java.util.Set;

import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.policy.RateLimitKnowledge;
import org.skylarkspring.gateway.policy.SharedRateLimiter;

/**
 * Entry of a backend server in the server table: its registration, the load placed on it
 * and the outcomes that this instance has observed.
 */
final class ServerEntry {

	/** Weight of the latest outcome in the moving average of the failure rate. */
	private static final double FAILURE_EWMA_WEIGHT = 0.1;

	/** Time without requests in which the failure rate halves. */
	private static final long FAILURE_HALF_LIFE_MILLIS = 3_000;

	private static final int TIMEOUTS_BEFORE_EJECTION = 2;

	private static final long BASE_EJECTION_MILLIS = 500;

	private static final long MAXIMUM_EJECTION_MILLIS = 4_000;

	/**
	 * Number of consecutive connection failures after which the ejection time no longer
	 * doubles.
	 */
	private static final int MAXIMUM_EJECTION_DOUBLINGS = 3;

	/** Cold servers tolerate half as much again in any second. */
	private static final double COLD_BURST_SECONDS = 0.5;

	/** Servers that name a limit tolerate half as much again over several seconds. */
	private static final double NAMED_LIMIT_BURST_SECONDS = 1;

	final SharedRateLimiter coldRateLimiter = new SharedRateLimiter(COLD_BURST_SECONDS);

	final SharedRateLimiter namedRateLimiter = new SharedRateLimiter(NAMED_LIMIT_BURST_SECONDS);

	final RateLimitKnowledge rateLimit = new RateLimitKnowledge();

	final Set<ServerAttempt> attempts = new LinkedHashSet<>();

	ServerRegistration registration;

	/** Whether the server is draining or was removed and receives no new requests. */
	boolean terminating;

	/** Whether the server is no longer registered. */
	boolean removed;

	/** Time until which an expired registration may reappear, -1 while it is listed. */
	long relistDeadlineMillis = -1;

	long coldUntilMillis;

	long reservedTokens;

	/** Prompt tokens for which the server may not have completed the prefill yet. */
	long pendingPrefillTokens;

	int peerRunningRequests;

	long peerPendingPrefillTokens;

	long peerReservedTokens;

	/** Time until which the server wants no requests of this instance. */
	private long backoffUntilMillis = Long.MIN_VALUE / 2;

	private double failureRate;

	private long lastOutcomeMillis;

	private int consecutiveFailures;

	private int consecutiveTimeouts;

	private long ejectedUntilMillis;

	ServerEntry(ServerRegistration registration, long nowMillis) {
		this.registration = registration;
		update(registration, nowMillis);
	}

	void update(ServerRegistration newRegistration, long nowMillis) {
		this.registration = newRegistration;
		this.coldUntilMillis = nowMillis + newRegistration.coldRemainingMillis();
		this.relistDeadlineMillis = -1;
		this.removed = false;
		this.terminating = newRegistration.draining();
	}

	boolean acceptsRequests() {
		return !this.terminating && !this.removed;
	}

	/**
	 * Records that the server wants no requests of this instance for a while. A shorter
	 * time does not replace a longer one.
	 * @param untilMillis end of that time in milliseconds
	 */
	void backOffUntil(long untilMillis) {
		this.backoffUntilMillis = Math.max(this.backoffUntilMillis, untilMillis);
	}

	/**
	 * Returns for how long the server still wants no requests of this instance.
	 * @param nowMillis current time in milliseconds
	 * @return the time in milliseconds, 0 if it accepts them
	 */
	long backoffMillis(long nowMillis) {
		return Math.max(0, this.backoffUntilMillis - nowMillis);
	}

	boolean isEjected(long nowMillis) {
		return nowMillis < this.ejectedUntilMillis;
	}

	/**
	 * Records a complete response.
	 * @param nowMillis current time in milliseconds
	 */
	void recordSuccess(long nowMillis) {
		this.consecutiveFailures = 0;
		this.consecutiveTimeouts = 0;
		this.ejectedUntilMillis = 0;
		recordOutcome(0, nowMillis);
	}

	/**
	 * Records that the server responded with a server error.
	 * @param nowMillis current time in milliseconds
	 */
	void recordServerError(long nowMillis) {
		recordOutcome(1, nowMillis);
	}

	private void recordOutcome(double failure, long nowMillis) {
		double current = failureRate(nowMillis);
		this.failureRate = current + FAILURE_EWMA_WEIGHT * (failure - current);
		this.lastOutcomeMillis = nowMillis;
	}

	/**
	 * Returns the moving average of the share of requests that failed. It decays while
	 * the server gets no requests, so that the server is tried again.
	 * @param nowMillis current time in milliseconds
	 * @return the share, 0 to 1
	 */
	double failureRate(long nowMillis) {
		double halfLives = (double) (nowMillis - this.lastOutcomeMillis) / FAILURE_HALF_LIFE_MILLIS;
		return this.failureRate * Math.pow(0.5, halfLives);
	}

	/**
	 * Records that the server did not respond in time. A single timeout may be due to a
	 * long request; the server is ejected when another one follows without a success.
	 * @param nowMillis current time in milliseconds
	 */
	void recordResponseTimeout(long nowMillis) {
		this.consecutiveTimeouts++;
		if (this.consecutiveTimeouts >= TIMEOUTS_BEFORE_EJECTION) {
			recordConnectionFailure(nowMillis);
		}
		else {
			recordServerError(nowMillis);
		}
	}

	/**
	 * Records that the server could not be reached or did not complete its response, and
	 * ejects it temporarily.
	 * @param nowMillis current time in milliseconds
	 */
	void recordConnectionFailure(long nowMillis) {
		recordServerError(nowMillis);
		long ejectionMillis = BASE_EJECTION_MILLIS << Math.min(MAXIMUM_EJECTION_DOUBLINGS, this.consecutiveFailures);
		this.consecutiveFailures++;
		this.ejectedUntilMillis = nowMillis + Math.min(MAXIMUM_EJECTION_MILLIS, ejectionMillis);
	}

}
