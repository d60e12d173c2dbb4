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
 * Tests of {@link AnswerSequence}.
 */
class AnswerSequenceTests {

	@Property(seed = "4711", tries = 2_000)
	void deliversEachTokenOnceAndInOrderFromOneGeneration(
			@ForAll @Size(max = 60) List<@IntRange(max = 59) Integer> arrivals) {
		AnswerSequence sequence = new AnswerSequence();
		sequence.begin(1, 0);
		String generation = null;
		int delivered = 0;
		for (int arrival : arrivals) {
			String from = "g" + arrival % 2;
			int offset = arrival / 6;
			if (sequence.admit(1 + arrival % 3 / 2, from, offset) == AnswerSequence.Admission.DELIVER) {
				assertThat(offset, is(delivered));
				generation = (generation != null) ? generation : from;
				assertThat(from, is(generation));
				delivered++;
			}
		}
		assertThat(sequence.delivered(), is(delivered));
	}

	@Nested
	class Begin {

		@Test
		void refusesNewGenerationAfterFirstToken() {
			AnswerSequence sequence = new AnswerSequence();
			sequence.begin(1, 0);
			sequence.admit(1, "g", 0);
			assertThat(sequence.begin(2, 0), is(false));
		}

		@Test
		void resumesSameGenerationAtTheNextOffset() {
			AnswerSequence sequence = new AnswerSequence();
			sequence.begin(1, 0);
			sequence.admit(1, "g", 0);
			assertThat(sequence.begin(2, 1), is(true));
			assertThat(sequence.admit(2, "other", 1), is(AnswerSequence.Admission.FOREIGN));
			assertThat(sequence.admit(2, "g", 1), is(AnswerSequence.Admission.DELIVER));
		}

		@Test
		void dropsLateTokensOfTheEarlierAttempt() {
			AnswerSequence sequence = new AnswerSequence();
			sequence.begin(1, 0);
			sequence.begin(2, 0);
			assertThat(sequence.admit(1, "g", 0), is(AnswerSequence.Admission.FOREIGN));
		}

	}

}
