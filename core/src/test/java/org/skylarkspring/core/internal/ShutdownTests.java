package org.skylarkspring.core.internal;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.Verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a graceful shutdown does not interrupt open requests and rejects new ones
 * only after load balancers have had time to stop sending them.
 */
class ShutdownTests {

	private final CoreHarness harness = new CoreHarness(2);

	private boolean isShutdownComplete() {
		return !this.harness.emittedActions(Action.ShutdownComplete.class).isEmpty();
	}

	@Nested
	class WhenRequestsAreOpen {

		@Test
		void finishesOpenRequestsBeforeShutdownCompletes() {
			long request = ShutdownTests.this.harness.sendRequest(CoreHarness.generationRequest());
			Action.Dispatch dispatch = ShutdownTests.this.harness.lastDispatch();
			ShutdownTests.this.harness.step(new Event.ShutdownRequested());
			for (int token = 1; token < 100; token++) {
				ShutdownTests.this.harness.step(new Event.TokensReceived(dispatch.attemptId(), token));
				ShutdownTests.this.harness.advanceTime(4_000);
			}
			assertThat(isShutdownComplete(), is(false));
			ShutdownTests.this.harness
				.step(new Event.AttemptEnded(dispatch.attemptId(), new AttemptResult.Generated(100)));
			assertThat(ShutdownTests.this.harness.outcomeOf(request), instanceOf(Outcome.Completed.class));
			ShutdownTests.this.harness.advanceTime(100);
			assertThat(ShutdownTests.this.harness.emittedActions(Action.ShutdownComplete.class), hasSize(1));
		}

	}

	@Nested
	class WhenRequestsArriveDuringShutdown {

		@Test
		void servesNewRequestsWithinLoadBalancerLag() {
			ShutdownTests.this.harness.step(new Event.ShutdownRequested());
			ShutdownTests.this.harness.advanceTime(4_000);
			ShutdownTests.this.harness.sendRequest(CoreHarness.generationRequest());
			assertThat(ShutdownTests.this.harness.dispatches(), hasSize(1));
			assertThat(isShutdownComplete(), is(false));
		}

		@Test
		void rejectsNewRequestsAsNotRunAfterLoadBalancerLag() {
			ShutdownTests.this.harness.step(new Event.ShutdownRequested());
			ShutdownTests.this.harness.advanceTime(6_000);
			long request = ShutdownTests.this.harness.sendRequest(CoreHarness.generationRequest());
			Outcome.Failed failure = (Outcome.Failed) ShutdownTests.this.harness.outcomeOf(request);
			assertThat(failure.errorCode(), is(ErrorCode.SHUTTING_DOWN));
			assertThat(failure.verdict(), is(Verdict.NOT_RUN));
			assertThat(isShutdownComplete(), is(true));
		}

	}

}
