package org.skylarkspring.gateway.pace;

import org.skylarkspring.gateway.peer.DigestEntry;

/**
 * Recent observations of how long work takes on a server.
 *
 * @param serverId id of the server
 * @param reports number of times that the server reported its pace
 * @param durationPercentSum sum of the reported durations, each in percent of the usual
 * duration
 * @param streams number of streams that ended on the server without having been moved
 * @param intervalMillisSum sum of the mean intervals between the events of these streams
 * @param longestPauseMillisSum sum of the longest intervals of these streams
 */
public record ServerWork(String serverId, long reports, long durationPercentSum, long streams, double intervalMillisSum,
		double longestPauseMillisSum) implements DigestEntry<ServerWork> {

	/** Above any number of observations within the time that they are kept. */
	private static final long MAXIMUM_COUNT = 1_000_000;

	/** Above any sum within the time that observations are kept. */
	private static final double MAXIMUM_SUM = 1e12;

	@Override
	public String key() {
		return this.serverId;
	}

	@Override
	public ServerWork plus(ServerWork other) {
		return new ServerWork(this.serverId, this.reports + other.reports,
				this.durationPercentSum + other.durationPercentSum, this.streams + other.streams,
				this.intervalMillisSum + other.intervalMillisSum,
				this.longestPauseMillisSum + other.longestPauseMillisSum);
	}

	@Override
	public boolean isValid() {
		return isCount(this.reports) && isCount(this.streams) && isSum(this.durationPercentSum)
				&& isSum(this.intervalMillisSum) && isSum(this.longestPauseMillisSum);
	}

	private static boolean isCount(long value) {
		return value >= 0 && value <= MAXIMUM_COUNT;
	}

	private static boolean isSum(double value) {
		return value >= 0 && value <= MAXIMUM_SUM;
	}

	static ServerWork ofReport(String serverId, int durationPercent) {
		return new ServerWork(serverId, 1, durationPercent, 0, 0, 0);
	}

	static ServerWork ofStream(String serverId, double intervalMillis, double longestPauseMillis) {
		return new ServerWork(serverId, 0, 0, 1, intervalMillis, longestPauseMillis);
	}

	static ServerWork none(String serverId) {
		return new ServerWork(serverId, 0, 0, 0, 0, 0);
	}

}
