package org.skylarkspring.gateway.policy;

import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link EventOrder}.
 */
class EventOrderTests {

	private final EventOrder order = new EventOrder();

	private EventOrder.Judgement judge(String id) {
		return this.order.judge(event(id));
	}

	private static StreamEvent event(String id) {
		return new StreamEvent(new byte[0], Optional.of(id));
	}

	@Nested
	class AfterThirdEvent {

		@Test
		void passesOnlyTheFourth() {
			EventOrderTests.this.order.delivered(event("3"));
			assertThat(judge("4"), is(EventOrder.Judgement.NEXT));
			assertThat(judge("3"), is(EventOrder.Judgement.REPEATED));
			assertThat(judge("1"), is(EventOrder.Judgement.REPEATED));
			assertThat(judge("5"), is(EventOrder.Judgement.GAP));
		}

		@Test
		void remembersTheLastId() {
			EventOrderTests.this.order.delivered(event("3"));
			assertThat(EventOrderTests.this.order.lastId(), is(Optional.of("3")));
		}

	}

	@Nested
	class WithoutNumbers {

		@Test
		void passesEventsAsTheyCome() {
			EventOrderTests.this.order.delivered(event("a"));
			assertThat(judge("b"), is(EventOrder.Judgement.NEXT));
			assertThat(EventOrderTests.this.order.judge(new StreamEvent(new byte[0], Optional.empty())),
					is(EventOrder.Judgement.NEXT));
		}

	}

}
