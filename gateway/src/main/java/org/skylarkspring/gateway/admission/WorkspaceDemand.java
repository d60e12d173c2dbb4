package org.skylarkspring.gateway.admission;

import org.skylarkspring.gateway.peer.DigestEntry;

/**
 * Capacity that the requests of a workspace use and wait for.
 *
 * @param key service and workspace
 * @param runningTokens KV cache memory of running requests, in tokens
 * @param waitingTokens KV cache memory that waiting requests need, in tokens
 */
public record WorkspaceDemand(String key, long runningTokens,
		long waitingTokens) implements DigestEntry<WorkspaceDemand> {

	/** Above any number of tokens of a service. */
	private static final long MAXIMUM_TOKENS = 1_000_000_000_000L;

	@Override
	public WorkspaceDemand plus(WorkspaceDemand other) {
		return new WorkspaceDemand(this.key, this.runningTokens + other.runningTokens,
				this.waitingTokens + other.waitingTokens);
	}

	@Override
	public boolean isValid() {
		return isTokenCount(this.runningTokens) && isTokenCount(this.waitingTokens);
	}

	private static boolean isTokenCount(long value) {
		return value >= 0 && value <= MAXIMUM_TOKENS;
	}

}
