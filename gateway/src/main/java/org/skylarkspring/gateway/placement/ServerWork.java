package org.skylarkspring.gateway.placement;

import org.skylarkspring.gateway.peer.DigestEntry;

/**
 * Recent observations of how long work takes on a server.
 *
 * @param serverId id of the server
 * @param samples number of observations
 * @param durationPercentSum sum of the observed durations, each in percent of the usual
 * duration
 */
public record ServerWork(String serverId, long samples, long durationPercentSum) implements DigestEntry<ServerWork> {

	/** Above any number of observations within the time that they are kept. */
	private static final long MAXIMUM_SAMPLES = 1_000_000;

	/** Above any sum of observed durations. */
	private static final long MAXIMUM_PERCENT_SUM = 100_000_000_000L;

	@Override
	public String key() {
		return this.serverId;
	}

	@Override
	public ServerWork plus(ServerWork other) {
		return new ServerWork(this.serverId, this.samples + other.samples,
				this.durationPercentSum + other.durationPercentSum);
	}

	@Override
	public boolean isValid() {
		return this.samples >= 0 && this.samples <= MAXIMUM_SAMPLES && this.durationPercentSum >= 0
				&& this.durationPercentSum <= MAXIMUM_PERCENT_SUM;
	}

}
