package org.skylarkspring.core.internal;

import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.Verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests that failed requests are retried only when this is safe, and that failures report
 * the correct verdict and a time after which to retry.
 */
class RequestFailureTests {

	private final CoreHarness harness = new CoreHarness(3);

	private Outcome.Failed failureOf(long requestId) {
		return (Outcome.Failed) this.harness.outcomeOf(requestId);
	}

	@Nested
	class WhenGenerationAttemptFails {

		@Test
		void retriesOnAnotherServerBeforeFirstToken() {
			long request = RequestFailureTests.this.harness.sendRequest(CoreHarness.generationRequest());
			Action.Dispatch first = RequestFailureTests.this.harness.lastDispatch();
			RequestFailureTests.this.harness.failAttempt(first, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			Action.Dispatch second = RequestFailureTests.this.harness.lastDispatch();
			assertThat(second.attemptId(), greaterThan(first.attemptId()));
			assertThat(second.serverId().equals(first.serverId()), is(false));
			assertThat(RequestFailureTests.this.harness.isFinished(request), is(false));
		}

		@Test
		void failsWithoutRetryAfterFirstStreamedToken() {
			long request = RequestFailureTests.this.harness.sendRequest(CoreHarness.generationRequest());
			Action.Dispatch first = RequestFailureTests.this.harness.lastDispatch();
			RequestFailureTests.this.harness.step(new Event.TokensReceived(first.attemptId(), 5));
			RequestFailureTests.this.harness.failAttempt(first, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			assertThat(RequestFailureTests.this.harness.dispatches(), hasSize(1));
			assertThat(failureOf(request).deliveredTokens(), is(5));
			assertThat(failureOf(request).verdict(), is(Verdict.MAY_HAVE_RUN));
			assertThat(failureOf(request).retryAfterMillis(), greaterThan(0L));
		}

		@Test
		void resumesOnSameServerWhenAttemptIsResumable() {
			RequestFailureTests.this.harness.sendRequest(CoreHarness.generationRequest());
			Action.Dispatch first = RequestFailureTests.this.harness.lastDispatch();
			RequestFailureTests.this.harness.step(new Event.TokensReceived(first.attemptId(), 5));
			RequestFailureTests.this.harness.failAttempt(first, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, true));
			Action.Dispatch second = RequestFailureTests.this.harness.lastDispatch();
			assertThat(second.serverId(), is(first.serverId()));
			assertThat(second.resumeOffset(), is(5));
		}

		@Test
		void retriesAfterTokensWhenResponseIsNotStreamed() {
			RequestFailureTests.this.harness.sendRequest(CoreHarness.generationRequest().streamed(false));
			Action.Dispatch first = RequestFailureTests.this.harness.lastDispatch();
			RequestFailureTests.this.harness.step(new Event.TokensReceived(first.attemptId(), 5));
			RequestFailureTests.this.harness.failAttempt(first, new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			assertThat(RequestFailureTests.this.harness.lastDispatch().resumeOffset(), is(0));
			assertThat(RequestFailureTests.this.harness.dispatches(), hasSize(2));
		}

		@Test
		void cancelsAndFailsStalledGenerationWithTimedOut() {
			long request = RequestFailureTests.this.harness.sendRequest(CoreHarness.generationRequest());
			Action.Dispatch first = RequestFailureTests.this.harness.lastDispatch();
			RequestFailureTests.this.harness.step(new Event.TokensReceived(first.attemptId(), 5));
			RequestFailureTests.this.harness.advanceTime(5_000);
			RequestFailureTests.this.harness.advanceTime(5_200);
			assertThat(RequestFailureTests.this.harness.emittedActions(Action.CancelAttempt.class).size(),
					greaterThanOrEqualTo(1));
			assertThat(failureOf(request).verdict(), is(Verdict.MAY_HAVE_RUN));
			assertThat(failureOf(request).errorCode(), is(ErrorCode.TIMED_OUT));
		}

	}

	@Nested
	class ReportedVerdict {

		@Test
		void reportsNotRunWhenNoServerIsInService() {
			RequestFailureTests.this.harness.listInstances(InstanceState.LEAVING);
			long request = RequestFailureTests.this.harness.sendRequest(CoreHarness.generationRequest());
			assertThat(failureOf(request).errorCode(), is(ErrorCode.NO_CAPACITY));
			assertThat(failureOf(request).verdict(), is(Verdict.NOT_RUN));
		}

		@Test
		void reportsMayHaveRunWhenDispatchedKeyedRequestFails() {
			long request = RequestFailureTests.this.harness
				.sendRequest(CoreHarness.keyedRequest(CoreHarness.issueIdempotencyKey(CoreHarness.EPOCH_MILLIS)));
			RequestFailureTests.this.harness.respondToStoreWrite(RequestFailureTests.this.harness.lastStoreWrite(),
					new StoreResponse.Written(1));
			RequestFailureTests.this.harness.failAttempt(RequestFailureTests.this.harness.lastDispatch(),
					new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			assertThat(failureOf(request).verdict(), is(Verdict.MAY_HAVE_RUN));
			assertThat(RequestFailureTests.this.harness.dispatches(), hasSize(1));
		}

		@Test
		void reportsNotRunWhenStoreIsUnavailable() {
			long request = RequestFailureTests.this.harness
				.sendRequest(CoreHarness.keyedRequest(CoreHarness.issueIdempotencyKey(CoreHarness.EPOCH_MILLIS)));
			RequestFailureTests.this.harness.respondToStoreWrite(RequestFailureTests.this.harness.lastStoreWrite(),
					new StoreResponse.Unavailable());
			assertThat(failureOf(request).errorCode(), is(ErrorCode.STORE_UNAVAILABLE));
			assertThat(failureOf(request).verdict(), is(Verdict.NOT_RUN));
			assertThat(RequestFailureTests.this.harness.dispatches(), hasSize(0));
		}

		@Test
		void dispatchesOnceWhenClaimIsConfirmedAfterLostStoreResponse() {
			RequestFailureTests.this.harness
				.sendRequest(CoreHarness.keyedRequest(CoreHarness.issueIdempotencyKey(CoreHarness.EPOCH_MILLIS)));
			Action.StoreWrite first = RequestFailureTests.this.harness.lastStoreWrite();
			RequestFailureTests.this.harness.respondToStoreWrite(first, new StoreResponse.ResponseLost());
			assertThat(RequestFailureTests.this.harness.dispatches(), hasSize(0));
			RequestFailureTests.this.harness.respondToStoreWrite(RequestFailureTests.this.harness.lastStoreWrite(),
					new StoreResponse.Found(9, first.value()));
			assertThat(RequestFailureTests.this.harness.dispatches(), hasSize(1));
		}

		@Test
		void reportsMayHaveRunWhenKeyIsExpired() {
			long request = RequestFailureTests.this.harness.sendRequest(
					CoreHarness.keyedRequest(CoreHarness.issueIdempotencyKey(CoreHarness.EPOCH_MILLIS - 86_400_001)));
			assertThat(failureOf(request).errorCode(), is(ErrorCode.KEY_EXPIRED));
			assertThat(failureOf(request).verdict(), is(Verdict.MAY_HAVE_RUN));
			assertThat(RequestFailureTests.this.harness.dispatches(), hasSize(0));
		}

	}

	@Nested
	class WhenOverloaded {

		@Test
		void spreadsRetryAfterOfRejectedRequestsAboveMinimum() {
			for (int count = 0; count < 400; count++) {
				RequestFailureTests.this.harness.sendRequest(CoreHarness.generationRequest());
			}
			RequestFailureTests.this.harness.advanceTime(1_900);
			Set<Long> retryDelays = RequestFailureTests.this.harness.emittedActions(Action.FinishRequest.class)
				.stream()
				.map((finish) -> ((Outcome.Failed) finish.outcome()).retryAfterMillis())
				.collect(Collectors.toSet());
			assertThat(retryDelays.size(), greaterThan(50));
			assertThat(retryDelays.stream().min(Long::compare).orElseThrow(), greaterThanOrEqualTo(1_000L));
		}

		/**
		 * Uses many servers, so that the pause of a server after a failed attempt does
		 * not prevent retries.
		 */
		@Test
		void limitsRetriesWhenAllAttemptsFail() {
			int requests = 100;
			CoreHarness largeHarness = new CoreHarness(150);
			for (int count = 0; count < requests; count++) {
				largeHarness.nowMillis += 200;
				largeHarness.reportAllLoads(1);
				long request = largeHarness.sendRequest(CoreHarness.generationRequest().deadlineMillis(60_000));
				while (!largeHarness.isFinished(request)) {
					largeHarness.failAttempt(largeHarness.lastDispatch(),
							new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
				}
			}
			assertThat(largeHarness.dispatches().size(), greaterThanOrEqualTo(requests));
			assertThat(largeHarness.dispatches().size(), lessThan(requests + requests / 5));
		}

	}

	@Nested
	class WhenServersStopReporting {

		@Test
		void sendsNoRequestsUntilServersReportAgain() {
			RequestFailureTests.this.harness.advanceTime(20_000);
			RequestFailureTests.this.harness.sendRequest(CoreHarness.generationRequest());
			assertThat(RequestFailureTests.this.harness.dispatches(), hasSize(0));
			RequestFailureTests.this.harness.reportAllLoads(1);
			assertThat(RequestFailureTests.this.harness.dispatches(), hasSize(1));
		}

	}

	@Nested
	class WhenAttemptFails {

		@Test
		void keepsServerIneligibleButWarmUntilNewReportAfterFailure() {
			RequestFailureTests.this.harness.sendRequest(CoreHarness.generationRequest());
			String failedServerId = RequestFailureTests.this.harness.lastDispatch().serverId();
			RequestFailureTests.this.harness.failAttempt(RequestFailureTests.this.harness.lastDispatch(),
					new AttemptResult.Failed(Verdict.MAY_HAVE_RUN, false));
			assertThat(isEligible(failedServerId), is(false));
			RequestFailureTests.this.harness.advanceTime(2_000);
			assertThat(isEligible(failedServerId), is(false));
			RequestFailureTests.this.harness.reportLoad(failedServerId, 1, 0, 0);
			assertThat(isEligible(failedServerId), is(true));
			assertThat(phaseOf(failedServerId), is("warm"));
		}

		private boolean isEligible(String serverId) {
			return RequestFailureTests.this.harness.pipeline.status()
				.servers()
				.stream()
				.anyMatch((server) -> server.serverId().equals(serverId) && server.eligible());
		}

		private String phaseOf(String serverId) {
			return RequestFailureTests.this.harness.pipeline.status()
				.servers()
				.stream()
				.filter((server) -> server.serverId().equals(serverId))
				.findFirst()
				.orElseThrow()
				.phase();
		}

	}

}
