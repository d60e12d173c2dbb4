package org.skylarkspring.gateway.policy;

import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link EventSequenceTracker}.
 */
class EventSequenceTrackerTests {

	private final EventSequenceTracker tracker = new EventSequenceTracker();

	private EventSequenceTracker.Disposition classifyId(String id) {
		return this.tracker.classify(eventWithId(id));
	}

	private static SseEvent eventWithId(String id) {
		return new SseEvent(new byte[0], Optional.of(id));
	}

	@Nested
	class AfterDeliveringThirdEvent {

		@Test
		void deliversOnlyTheFourthEventAndDetectsDuplicatesAndGaps() {
			EventSequenceTrackerTests.this.tracker.recordDelivered(eventWithId("3"));
			assertThat(classifyId("4"), is(EventSequenceTracker.Disposition.DELIVER));
			assertThat(classifyId("3"), is(EventSequenceTracker.Disposition.DUPLICATE));
			assertThat(classifyId("1"), is(EventSequenceTracker.Disposition.DUPLICATE));
			assertThat(classifyId("5"), is(EventSequenceTracker.Disposition.GAP));
		}

		@Test
		void returnsIdOfLastDeliveredEvent() {
			EventSequenceTrackerTests.this.tracker.recordDelivered(eventWithId("3"));
			assertThat(EventSequenceTrackerTests.this.tracker.lastDeliveredId(), is(Optional.of("3")));
		}

	}

	@Nested
	class NonNumericIds {

		@Test
		void deliversEventsInArrivalOrderWhenIdsAreNotNumeric() {
			EventSequenceTrackerTests.this.tracker.recordDelivered(eventWithId("a"));
			assertThat(classifyId("b"), is(EventSequenceTracker.Disposition.DELIVER));
			assertThat(EventSequenceTrackerTests.this.tracker.classify(new SseEvent(new byte[0], Optional.empty())),
					is(EventSequenceTracker.Disposition.DELIVER));
		}

	}

}
