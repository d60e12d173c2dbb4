package org.skylarkspring.gateway.policy;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The latest that is known of the request rate limit of one server, from its responses to
 * this instance or to others. A newer observation replaces an older one.
 */
public final class RateLimitKnowledge {

	/**
	 * Time after which a limit lapses that no response to any instance has confirmed.
	 */
	private static final long LAPSE_MILLIS = 30_000;

	/** Latest observation, {@code null} while the server has never named a limit. */
	private Observation latest;

	/**
	 * Records an observation, unless a newer one is known or the server has never named a
	 * limit and does not name one now.
	 * @param observation the observation
	 * @return whether the limit has changed
	 */
	public boolean observe(Observation observation) {
		boolean uninteresting = this.latest == null && !observation.isLimited();
		if (uninteresting || (this.latest != null && observation.observedMillis() < this.latest.observedMillis())) {
			return false;
		}
		boolean changed = this.latest == null || this.latest.requestsPerSecond() != observation.requestsPerSecond();
		this.latest = observation;
		return changed;
	}

	/**
	 * Returns the limit in force.
	 * @param nowMillis current time in milliseconds
	 * @return requests per second of all instances together, empty if there is no limit
	 */
	public OptionalDouble requestsPerSecond(long nowMillis) {
		return recent(nowMillis).filter(Observation::isLimited)
			.map((observation) -> OptionalDouble.of(observation.requestsPerSecond()))
			.orElse(OptionalDouble.empty());
	}

	/**
	 * Returns the latest observation, to be passed on to other instances.
	 * @param nowMillis current time in milliseconds
	 * @return the observation, empty if the server has named no limit for a while
	 */
	public Optional<Observation> recent(long nowMillis) {
		return Optional.ofNullable(this.latest)
			.filter((observation) -> nowMillis - observation.observedMillis() < LAPSE_MILLIS);
	}

	/**
	 * Limit named by one response.
	 *
	 * @param requestsPerSecond requests per second of all instances together, 0 for no
	 * limit
	 * @param observedMillis time of the response in milliseconds
	 */
	public record Observation(double requestsPerSecond, long observedMillis) {

		boolean isLimited() {
			return this.requestsPerSecond > 0;
		}

	}

}
