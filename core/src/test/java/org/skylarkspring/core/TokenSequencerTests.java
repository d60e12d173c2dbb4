package org.skylarkspring.core;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link TokenSequencer}.
 */
class TokenSequencerTests {

	@Property(seed = "4711", tries = 2_000)
	void deliversEachTokenOnceInOrderFromOneGeneration(
			@ForAll @Size(max = 60) List<@IntRange(max = 59) Integer> arrivals) {
		TokenSequencer sequencer = new TokenSequencer();
		sequencer.beginAttempt(1, 0);
		String generation = null;
		int delivered = 0;
		for (int arrival : arrivals) {
			String fromGeneration = "g" + arrival % 2;
			int offset = arrival / 6;
			if (sequencer.accept(1 + arrival % 3 / 2, fromGeneration, offset) == TokenSequencer.Decision.DELIVER) {
				assertThat(offset, is(delivered));
				generation = (generation != null) ? generation : fromGeneration;
				assertThat(fromGeneration, is(generation));
				delivered++;
			}
		}
		assertThat(sequencer.deliveredTokens(), is(delivered));
	}

	@Nested
	class WhenAttemptBegins {

		@Test
		void rejectsNewGenerationAfterFirstDeliveredToken() {
			TokenSequencer sequencer = new TokenSequencer();
			sequencer.beginAttempt(1, 0);
			sequencer.accept(1, "g", 0);
			assertThat(sequencer.beginAttempt(2, 0), is(false));
		}

		@Test
		void acceptsOnlySameGenerationWhenResumedAtNextOffset() {
			TokenSequencer sequencer = new TokenSequencer();
			sequencer.beginAttempt(1, 0);
			sequencer.accept(1, "g", 0);
			assertThat(sequencer.beginAttempt(2, 1), is(true));
			assertThat(sequencer.accept(2, "other", 1), is(TokenSequencer.Decision.FOREIGN));
			assertThat(sequencer.accept(2, "g", 1), is(TokenSequencer.Decision.DELIVER));
		}

		@Test
		void dropsLateTokensOfSupersededAttempt() {
			TokenSequencer sequencer = new TokenSequencer();
			sequencer.beginAttempt(1, 0);
			sequencer.beginAttempt(2, 0);
			assertThat(sequencer.accept(1, "g", 0), is(TokenSequencer.Decision.FOREIGN));
		}

	}

}
