package org.skylarkspring.gateway.internal;

import java.util.LinkedHashSet;
import java.util.Set;

import org.skylarkspring.gateway.model.ServerListing;
import org.skylarkspring.gateway.policy.ColdLimit;

/**
 * Row of a backend server: its listing and what this instance has seen of it.
 */
final class ServerEntry {

	/** Weight of the newest outcome in the share of failures. */
	private static final double FAILURE_WEIGHT = 0.1;

	private static final long FIRST_SUSPENSION_MILLIS = 500;

	private static final long LONGEST_SUSPENSION_MILLIS = 4_000;

	/** Outcomes in a row after which a suspension no longer grows. */
	private static final int MAXIMUM_DOUBLINGS = 3;

	final ColdLimit coldLimit = new ColdLimit();

	final Set<ServerAttempt> attempts = new LinkedHashSet<>();

	ServerListing listing;

	/** Whether the server drains or was removed: it gets nothing new. */
	boolean leaving;

	/** Whether the listing is gone. */
	boolean removed;

	/** Until when a listing that lapsed may come back, -1 if it is listed. */
	long lapsesAtMillis = -1;

	long coldUntilMillis;

	long promisedTokens;

	/** Prompt tokens of requests that have not been answered yet. */
	long unreadTokens;

	int peerRunning;

	long peerUnreadTokens;

	long peerTokens;

	double failureRate;

	private int failuresInRow;

	private long suspendedUntilMillis;

	ServerEntry(ServerListing listing, long nowMillis) {
		this.listing = listing;
		update(listing, nowMillis);
	}

	void update(ServerListing newest, long nowMillis) {
		this.listing = newest;
		this.coldUntilMillis = nowMillis + newest.coldRemainingMillis();
		this.lapsesAtMillis = -1;
		this.removed = false;
		this.leaving = newest.draining();
	}

	boolean mayReceive() {
		return !this.leaving && !this.removed;
	}

	boolean suspended(long nowMillis) {
		return nowMillis < this.suspendedUntilMillis;
	}

	void succeeded() {
		this.failuresInRow = 0;
		this.suspendedUntilMillis = 0;
		this.failureRate -= FAILURE_WEIGHT * this.failureRate;
	}

	/** The server answered, but with an error of its own. */
	void erred() {
		this.failureRate += FAILURE_WEIGHT * (1 - this.failureRate);
	}

	/**
	 * The server could not be reached or broke off.
	 * @param nowMillis current time
	 */
	void failed(long nowMillis) {
		erred();
		long pause = FIRST_SUSPENSION_MILLIS << Math.min(MAXIMUM_DOUBLINGS, this.failuresInRow);
		this.failuresInRow++;
		this.suspendedUntilMillis = nowMillis + Math.min(LONGEST_SUSPENSION_MILLIS, pause);
	}

}
