package org.skylarkspring.gateway.admission;

import org.skylarkspring.gateway.peer.DigestEntry;

/**
 * Capacity that the requests of a workspace to a route use and wait for, and what its
 * generations that ended within {@link DemandTable#WINDOW_MILLIS} have used.
 *
 * @param service service of the requests
 * @param route route of the requests
 * @param workspace workspace of the requests, empty for anonymous ones
 * @param runningTokens KV cache memory of dispatched requests, in tokens
 * @param deferredTokens part of it that waits in the queues of engines behind other
 * requests, in tokens
 * @param waitingTokens KV cache memory that waiting requests need, in tokens
 * @param endedRequests number of dispatched requests that have ended
 * @param releasedTokens KV cache memory that these have released, in tokens
 * @param measuredGenerations number of completed generations of known length
 * @param outputTokens sum of the lengths of these generations, in tokens
 */
public record WorkspaceDemand(String service, String route, String workspace, long runningTokens, long deferredTokens,
		long waitingTokens, long endedRequests, long releasedTokens, long measuredGenerations,
		long outputTokens) implements DigestEntry<WorkspaceDemand> {

	/** Above any number of tokens or requests of a service. */
	private static final long MAXIMUM_VALUE = 1_000_000_000_000L;

	// A line break occurs in no name.
	@Override
	public String key() {
		boolean named = this.service != null && this.route != null && this.workspace != null;
		return named ? this.service + "\n" + this.route + "\n" + this.workspace : null;
	}

	@Override
	public WorkspaceDemand plus(WorkspaceDemand other) {
		return new WorkspaceDemand(this.service, this.route, this.workspace, this.runningTokens + other.runningTokens,
				this.deferredTokens + other.deferredTokens, this.waitingTokens + other.waitingTokens,
				this.endedRequests + other.endedRequests, this.releasedTokens + other.releasedTokens,
				this.measuredGenerations + other.measuredGenerations, this.outputTokens + other.outputTokens);
	}

	@Override
	public boolean isValid() {
		return isInRange(this.runningTokens) && isInRange(this.deferredTokens) && isInRange(this.waitingTokens)
				&& isInRange(this.endedRequests) && isInRange(this.releasedTokens)
				&& isInRange(this.measuredGenerations) && isInRange(this.outputTokens);
	}

	private static boolean isInRange(long value) {
		return value >= 0 && value <= MAXIMUM_VALUE;
	}

}
