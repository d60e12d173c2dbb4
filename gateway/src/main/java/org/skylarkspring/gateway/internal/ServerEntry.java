package org.skylarkspring.gateway.internal;

import java.util.LinkedHashSet;
import java.util.Set;

import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.policy.ColdServerRateLimiter;

/**
 * Row of a backend server: its listing and what this instance has seen of it.
 */
final class ServerEntry {

	/** Weight of the newest outcome in the share of failures. */
	private static final double FAILURE_EWMA_WEIGHT = 0.1;

	private static final long BASE_EJECTION_MILLIS = 500;

	private static final long MAXIMUM_EJECTION_MILLIS = 4_000;

	/** Outcomes in a row after which a suspension no longer grows. */
	private static final int MAXIMUM_EJECTION_DOUBLINGS = 3;

	final ColdServerRateLimiter coldLimit = new ColdServerRateLimiter();

	final Set<ServerAttempt> attempts = new LinkedHashSet<>();

	ServerRegistration registration;

	/** Whether the server drains or was removed: it gets nothing new. */
	boolean terminating;

	/** Whether the listing is gone. */
	boolean removed;

	/** Until when a listing that lapsed may come back, -1 if it is listed. */
	long relistDeadlineMillis = -1;

	long coldUntilMillis;

	long reservedTokens;

	/** Prompt tokens of requests that have not been answered yet. */
	long pendingPrefillTokens;

	int peerRunningRequests;

	long peerPendingPrefillTokens;

	long peerReservedTokens;

	double failureRate;

	private int consecutiveFailures;

	private long ejectedUntilMillis;

	ServerEntry(ServerRegistration registration, long nowMillis) {
		this.registration = registration;
		update(registration, nowMillis);
	}

	void update(ServerRegistration newest, long nowMillis) {
		this.registration = newest;
		this.coldUntilMillis = nowMillis + newest.coldRemainingMillis();
		this.relistDeadlineMillis = -1;
		this.removed = false;
		this.terminating = newest.draining();
	}

	boolean acceptsRequests() {
		return !this.terminating && !this.removed;
	}

	boolean isEjected(long nowMillis) {
		return nowMillis < this.ejectedUntilMillis;
	}

	void recordSuccess() {
		this.consecutiveFailures = 0;
		this.ejectedUntilMillis = 0;
		this.failureRate -= FAILURE_EWMA_WEIGHT * this.failureRate;
	}

	/** The server answered, but with an error of its own. */
	void recordServerError() {
		this.failureRate += FAILURE_EWMA_WEIGHT * (1 - this.failureRate);
	}

	/**
	 * The server could not be reached or broke off.
	 * @param nowMillis current time
	 */
	void recordConnectionFailure(long nowMillis) {
		recordServerError();
		long pause = BASE_EJECTION_MILLIS << Math.min(MAXIMUM_EJECTION_DOUBLINGS, this.consecutiveFailures);
		this.consecutiveFailures++;
		this.ejectedUntilMillis = nowMillis + Math.min(MAXIMUM_EJECTION_MILLIS, pause);
	}

}
