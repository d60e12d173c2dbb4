package org.skylarkspring.gateway.rollout;

import java.util.random.RandomGenerator;

/**
 * Requests that one instance may send to a version under test. The allowed number grows
 * only with requests that the instance has received itself, so that the sum over all
 * instances keeps the limit without any exchange of messages.
 */
public final class ExposureBudget {

	/**
	 * Part of the slack that may be used at once, so that bad versions are found early.
	 */
	private static final double INITIAL_SLACK_FRACTION = 0.3;

	private final double share;

	private final double slack;

	private final RandomGenerator random;

	/** Part of a request by which the next one is delayed. */
	private double delay;

	private long requests;

	private long sent;

	/**
	 * Creates a budget.
	 * @param share share of the requests of this instance
	 * @param slack number of requests in addition; the sum over all instances is at most
	 * the allowed slack
	 * @param random source of the delays that keep many instances with few requests each
	 * from using their budgets at the same time
	 */
	public ExposureBudget(double share, double slack, RandomGenerator random) {
		this.share = share;
		this.slack = slack;
		this.random = random;
		this.delay = random.nextDouble();
	}

	/** Records a request for the service. */
	public void recordRequest() {
		this.requests++;
	}

	/**
	 * Returns whether another request may be sent to the version during the test. The
	 * budget is spread over the time of the test, because some faults show late.
	 * @param fraction part of the share that may be used
	 * @param elapsed elapsed part of the time of the rollout
	 * @return {@code false} if the budget is used up for now
	 */
	public boolean hasRoomInTest(double fraction, double elapsed) {
		double slackNow = this.slack * Math.min(1, INITIAL_SLACK_FRACTION + (1 - INITIAL_SLACK_FRACTION) * elapsed);
		double sharePart = fraction * this.share * this.requests - this.delay;
		return this.sent + 1 <= Math.max(0, sharePart) + slackNow;
	}

	/**
	 * Returns whether another request may be sent to the version while it is promoted.
	 * @param fraction part of the share that may be used
	 * @return {@code false} if the budget is used up
	 */
	public boolean hasRoom(double fraction) {
		return this.sent + 1 <= fraction * this.share * this.requests + this.slack;
	}

	/** Counts a request that is sent to the version. */
	public void recordSent() {
		this.sent++;
		this.delay = this.random.nextDouble();
	}

	/**
	 * Returns the number of requests received.
	 * @return number of requests since the order
	 */
	public long requests() {
		return this.requests;
	}

	/**
	 * Returns the number of requests sent to the version.
	 * @return number of requests, with retries and migrations
	 */
	public long sent() {
		return this.sent;
	}

}
