package org.skylarkspring.gateway.policy;

import java.util.Optional;
import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.policy.RateLimitKnowledge.Observation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RateLimitKnowledge}.
 */
class RateLimitKnowledgeTests {

	private final RateLimitKnowledge knowledge = new RateLimitKnowledge();

	@Test
	void serverWithoutLimitIsNotReported() {
		assertThat(this.knowledge.observe(new Observation(0, 10)), is(false));
		assertThat(this.knowledge.recent(10), is(Optional.empty()));
	}

	@Test
	void limitFallsAndRisesWithNewerObservations() {
		assertThat(this.knowledge.observe(new Observation(4, 10)), is(true));
		assertThat(this.knowledge.observe(new Observation(2, 20)), is(true));
		assertThat(this.knowledge.requestsPerSecond(20), is(OptionalDouble.of(2)));
		assertThat(this.knowledge.observe(new Observation(3, 30)), is(true));
		assertThat(this.knowledge.requestsPerSecond(30), is(OptionalDouble.of(3)));
	}

	@Test
	void lateReportOfAnotherInstanceDoesNotReplaceNewerObservation() {
		this.knowledge.observe(new Observation(2, 20));
		assertThat(this.knowledge.observe(new Observation(0, 10)), is(false));
		assertThat(this.knowledge.requestsPerSecond(20), is(OptionalDouble.of(2)));
	}

	@Test
	void endOfLimitIsPassedOn() {
		this.knowledge.observe(new Observation(2, 20));
		assertThat(this.knowledge.observe(new Observation(0, 30)), is(true));
		assertThat(this.knowledge.requestsPerSecond(30), is(OptionalDouble.empty()));
		assertThat(this.knowledge.recent(40), is(Optional.of(new Observation(0, 30))));
	}

	@Test
	void limitThatNoResponseConfirmsLapses() {
		this.knowledge.observe(new Observation(2, 20));
		assertThat(this.knowledge.requestsPerSecond(30_019), is(OptionalDouble.of(2)));
		assertThat(this.knowledge.requestsPerSecond(30_020), is(OptionalDouble.empty()));
	}

}
