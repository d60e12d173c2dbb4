package org.skylarkspring.core.internal;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RefusalCode;
import org.skylarkspring.core.model.Verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * A graceful shutdown cuts off no request.
 */
class ShutdownTests {

	private final CoreHarness harness = new CoreHarness(2);

	private boolean complete() {
		return !this.harness.emitted(Action.ShutdownComplete.class).isEmpty();
	}

	@Nested
	class OpenRequests {

		@Test
		void areFinishedHoweverLongTheyTake() {
			long request = ShutdownTests.this.harness.send(CoreHarness.generation());
			Action.Dispatch dispatch = ShutdownTests.this.harness.lastDispatch();
			ShutdownTests.this.harness.step(new Event.ShutdownRequested());
			for (int token = 1; token < 100; token++) {
				ShutdownTests.this.harness.step(new Event.TokensReceived(dispatch.attemptId(), token));
				ShutdownTests.this.harness.pass(4_000);
			}
			assertThat(complete(), is(false));
			ShutdownTests.this.harness
				.step(new Event.AttemptEnded(dispatch.attemptId(), new AttemptResult.Generated(100)));
			assertThat(ShutdownTests.this.harness.outcome(request), instanceOf(Outcome.Completed.class));
			ShutdownTests.this.harness.pass(100);
			assertThat(ShutdownTests.this.harness.emitted(Action.ShutdownComplete.class), hasSize(1));
		}

	}

	@Nested
	class NewRequests {

		@Test
		void areServedWithinTheLagOfTheBalancer() {
			ShutdownTests.this.harness.step(new Event.ShutdownRequested());
			ShutdownTests.this.harness.pass(4_000);
			ShutdownTests.this.harness.send(CoreHarness.generation());
			assertThat(ShutdownTests.this.harness.dispatches(), hasSize(1));
			assertThat(complete(), is(false));
		}

		@Test
		void areTrulyRefusedAfterwards() {
			ShutdownTests.this.harness.step(new Event.ShutdownRequested());
			ShutdownTests.this.harness.pass(6_000);
			long request = ShutdownTests.this.harness.send(CoreHarness.generation());
			Outcome.Refused refused = (Outcome.Refused) ShutdownTests.this.harness.outcome(request);
			assertThat(refused.code(), is(RefusalCode.SHUTTING_DOWN));
			assertThat(refused.verdict(), is(Verdict.NOT_RUN));
			assertThat(complete(), is(true));
		}

	}

}
