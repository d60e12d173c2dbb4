package org.skylarkspring.core.internal;

import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RefusalCode;
import org.skylarkspring.core.model.StoreAnswer;
import org.skylarkspring.core.model.Verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Refusals are true, immediate and say when to come back.
 */
class RefusalTests {

	private final CoreHarness harness = new CoreHarness(3);

	private Outcome.Refused refusal(long requestId) {
		return (Outcome.Refused) this.harness.outcome(requestId);
	}

	@Nested
	class Generations {

		@Test
		void areRetriedElsewhereBeforeTheFirstToken() {
			long request = RefusalTests.this.harness.send(CoreHarness.generation());
			Action.Dispatch first = RefusalTests.this.harness.lastDispatch();
			RefusalTests.this.harness.fail(first, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			Action.Dispatch second = RefusalTests.this.harness.lastDispatch();
			assertThat(second.attemptId(), greaterThan(first.attemptId()));
			assertThat(second.serverId().equals(first.serverId()), is(false));
			assertThat(RefusalTests.this.harness.finished(request), is(false));
		}

		@Test
		void areNeverSplicedAfterTheFirstToken() {
			long request = RefusalTests.this.harness.send(CoreHarness.generation());
			Action.Dispatch first = RefusalTests.this.harness.lastDispatch();
			RefusalTests.this.harness.step(new Event.TokensReceived(first.attemptId(), 5));
			RefusalTests.this.harness.fail(first, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			assertThat(RefusalTests.this.harness.dispatches(), hasSize(1));
			assertThat(refusal(request).deliveredTokens(), is(5));
			assertThat(refusal(request).verdict(), is(Verdict.MAY_HAVE_RUN));
			assertThat(refusal(request).retryAfterMillis(), greaterThan(0L));
		}

		@Test
		void areResumedOnlyOnTheSameServer() {
			RefusalTests.this.harness.send(CoreHarness.generation());
			Action.Dispatch first = RefusalTests.this.harness.lastDispatch();
			RefusalTests.this.harness.step(new Event.TokensReceived(first.attemptId(), 5));
			RefusalTests.this.harness.fail(first, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, true));
			Action.Dispatch second = RefusalTests.this.harness.lastDispatch();
			assertThat(second.serverId(), is(first.serverId()));
			assertThat(second.resumeOffset(), is(5));
		}

		@Test
		void mayRunAgainAfterTokensIfTheAnswerIsNotStreamed() {
			RefusalTests.this.harness.send(CoreHarness.generation().streamed(false));
			Action.Dispatch first = RefusalTests.this.harness.lastDispatch();
			RefusalTests.this.harness.step(new Event.TokensReceived(first.attemptId(), 5));
			RefusalTests.this.harness.fail(first, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			assertThat(RefusalTests.this.harness.lastDispatch().resumeOffset(), is(0));
			assertThat(RefusalTests.this.harness.dispatches(), hasSize(2));
		}

		@Test
		void thatStallAreGivenUpAtOnce() {
			long request = RefusalTests.this.harness.send(CoreHarness.generation());
			Action.Dispatch first = RefusalTests.this.harness.lastDispatch();
			RefusalTests.this.harness.step(new Event.TokensReceived(first.attemptId(), 5));
			RefusalTests.this.harness.pass(5_000);
			RefusalTests.this.harness.pass(5_200);
			assertThat(RefusalTests.this.harness.emitted(Action.CancelAttempt.class).size(), greaterThanOrEqualTo(1));
			assertThat(refusal(request).verdict(), is(Verdict.MAY_HAVE_RUN));
			assertThat(refusal(request).code(), is(RefusalCode.TIMED_OUT));
		}

	}

	@Nested
	class Verdicts {

		@Test
		void areNotRunWhenNoServerExists() {
			RefusalTests.this.harness.list(InstanceState.LEAVING);
			long request = RefusalTests.this.harness.send(CoreHarness.generation());
			assertThat(refusal(request).code(), is(RefusalCode.NO_CAPACITY));
			assertThat(refusal(request).verdict(), is(Verdict.NOT_RUN));
		}

		@Test
		void areMayHaveRunOnceABookingWasSent() {
			long request = RefusalTests.this.harness
				.send(CoreHarness.booking(CoreHarness.key(CoreHarness.EPOCH_MILLIS)));
			RefusalTests.this.harness.answer(RefusalTests.this.harness.lastWrite(), new StoreAnswer.Written(1));
			RefusalTests.this.harness.fail(RefusalTests.this.harness.lastDispatch(),
					new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			assertThat(refusal(request).verdict(), is(Verdict.MAY_HAVE_RUN));
			assertThat(RefusalTests.this.harness.dispatches(), hasSize(1));
		}

		@Test
		void areNotRunWithTheStoreOut() {
			long request = RefusalTests.this.harness
				.send(CoreHarness.booking(CoreHarness.key(CoreHarness.EPOCH_MILLIS)));
			RefusalTests.this.harness.answer(RefusalTests.this.harness.lastWrite(), new StoreAnswer.Unavailable());
			assertThat(refusal(request).code(), is(RefusalCode.STORE_UNAVAILABLE));
			assertThat(refusal(request).verdict(), is(Verdict.NOT_RUN));
			assertThat(RefusalTests.this.harness.dispatches(), hasSize(0));
		}

		@Test
		void areSettledByTheAttemptWhenAStoreAnswerIsLost() {
			RefusalTests.this.harness.send(CoreHarness.booking(CoreHarness.key(CoreHarness.EPOCH_MILLIS)));
			Action.StoreWrite first = RefusalTests.this.harness.lastWrite();
			RefusalTests.this.harness.answer(first, new StoreAnswer.Lost());
			assertThat(RefusalTests.this.harness.dispatches(), hasSize(0));
			RefusalTests.this.harness.answer(RefusalTests.this.harness.lastWrite(),
					new StoreAnswer.Found(9, first.value()));
			assertThat(RefusalTests.this.harness.dispatches(), hasSize(1));
		}

		@Test
		void areNeverNotRunForAnExpiredKey() {
			long request = RefusalTests.this.harness
				.send(CoreHarness.booking(CoreHarness.key(CoreHarness.EPOCH_MILLIS - 86_400_001)));
			assertThat(refusal(request).code(), is(RefusalCode.KEY_EXPIRED));
			assertThat(refusal(request).verdict(), is(Verdict.MAY_HAVE_RUN));
			assertThat(RefusalTests.this.harness.dispatches(), hasSize(0));
		}

	}

	@Nested
	class Overload {

		@Test
		void refusesAtTheDeadlineAndSpreadsTheReturn() {
			for (int count = 0; count < 400; count++) {
				RefusalTests.this.harness.send(CoreHarness.generation());
			}
			RefusalTests.this.harness.pass(1_900);
			Set<Long> returns = RefusalTests.this.harness.emitted(Action.FinishRequest.class)
				.stream()
				.map((finish) -> ((Outcome.Refused) finish.outcome()).retryAfterMillis())
				.collect(Collectors.toSet());
			assertThat(returns.size(), greaterThan(50));
			assertThat(returns.stream().min(Long::compare).orElseThrow(), greaterThanOrEqualTo(1_000L));
		}

		/** Many servers, so that pauses of single servers do not hold retries back. */
		@Test
		void doesNotMultiplyFailuresByRetries() {
			int requests = 100;
			CoreHarness wide = new CoreHarness(150);
			for (int count = 0; count < requests; count++) {
				wide.nowMillis += 200;
				wide.reportAll(1);
				long request = wide.send(CoreHarness.generation().deadlineMillis(60_000));
				while (!wide.finished(request)) {
					wide.fail(wide.lastDispatch(), new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
				}
			}
			assertThat(wide.dispatches().size(), greaterThanOrEqualTo(requests));
			assertThat(wide.dispatches().size(), lessThan(requests + requests / 5));
		}

	}

	@Nested
	class SilentServers {

		@Test
		void receiveNothingUntilTheyReportAgain() {
			RefusalTests.this.harness.pass(20_000);
			RefusalTests.this.harness.send(CoreHarness.generation());
			assertThat(RefusalTests.this.harness.dispatches(), hasSize(0));
			RefusalTests.this.harness.reportAll(1);
			assertThat(RefusalTests.this.harness.dispatches(), hasSize(1));
		}

	}

	@Nested
	class FailedAttempts {

		@Test
		void pauseAServerUntilAYoungerReportAndKeepItWarm() {
			RefusalTests.this.harness.send(CoreHarness.generation());
			String failed = RefusalTests.this.harness.lastDispatch().serverId();
			RefusalTests.this.harness.fail(RefusalTests.this.harness.lastDispatch(),
					new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			assertThat(eligible(failed), is(false));
			RefusalTests.this.harness.pass(2_000);
			assertThat(eligible(failed), is(false));
			RefusalTests.this.harness.report(failed, 1, 0, 0);
			assertThat(eligible(failed), is(true));
			assertThat(phase(failed), is("warm"));
		}

		private boolean eligible(String serverId) {
			return RefusalTests.this.harness.core.status()
				.servers()
				.stream()
				.anyMatch((server) -> server.serverId().equals(serverId) && server.eligible());
		}

		private String phase(String serverId) {
			return RefusalTests.this.harness.core.status()
				.servers()
				.stream()
				.filter((server) -> server.serverId().equals(serverId))
				.findFirst()
				.orElseThrow()
				.phase();
		}

	}

}
