package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.http.DeliveryStatus;
import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.StopResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests {@link GenerationStopper}.
 */
class GenerationStopperTests {

	/** Time for which two servers may run one generation at most. */
	private static final long MAXIMUM_OVERLAP_MILLIS = 400;

	private static final StopResult RUNNING = new StopResult.NotStopped("503");

	private static final StopResult ENDED = new StopResult.Stopped(Optional.empty());

	private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();

	private final ServerEntry source = server("source");

	private final ServerEntry target = server("target");

	private final List<String> calls = new ArrayList<>();

	private final List<GenerationStopper.Outcome> outcomes = new ArrayList<>();

	private final List<String> releasedCopies = new ArrayList<>();

	private Supplier<Answer> queryAnswer = () -> answered(RUNNING);

	private Supplier<Answer> orderAnswer = () -> answered(RUNNING);

	private boolean resumedOnSource;

	private final GenerationStopper stopper = new GenerationStopper(this.scheduler, new DecisionLog(),
			new GatewayMetrics(), (requestId, from, next, onResult) -> call("query", this.queryAnswer, onResult),
			(requestId, from, next, onResult) -> call("order", this.orderAnswer, onResult),
			(server, handle) -> this.releasedCopies.add(handle));

	private static ServerEntry server(String id) {
		return new ServerEntry(new ServerRegistration(id, "engines", "10.0.0.1:80", "dc", 6, false, 0, 1), 0);
	}

	private static Answer answered(StopResult result) {
		return new Answer(new HttpTextResult.Answered(200, ""), result, 2);
	}

	private static Answer failed(DeliveryStatus status, String reason, long millis) {
		return new Answer(new HttpTextResult.Failed(status, reason), new StopResult.Unanswered(reason), millis);
	}

	private static Answer connectTimeout() {
		return failed(DeliveryStatus.NOT_SENT, HttpClientCall.CONNECT_TIMEOUT_REASON, 40);
	}

	private void call(String kind, Supplier<Answer> answers, GenerationStopper.ResultConsumer onResult) {
		this.calls.add(kind);
		Answer answer = answers.get();
		this.scheduler.schedule(answer.millis(), () -> onResult.accept(answer.response(), answer.result()));
	}

	private void stopAfterClose() {
		this.stopper.stopAfterClose("r1", this.source, this.target, () -> this.resumedOnSource, this.outcomes::add);
	}

	private void stopAfterFailure() {
		this.stopper.stopAfterFailure("r1", this.source, this.target, () -> this.resumedOnSource, this.outcomes::add);
	}

	private record Answer(HttpTextResult response, StopResult result, long millis) {
	}

	@Nested
	class ReachedServers {

		@Test
		void serverThatNoticesItsClosedConnectionIsCheckedOnceMore() {
			GenerationStopperTests.this.queryAnswer = () -> answered(ENDED);
			GenerationStopperTests.this.orderAnswer = () -> answered(ENDED);
			stopAfterClose();
			GenerationStopperTests.this.scheduler.advance(60_000);
			assertThat(GenerationStopperTests.this.calls, contains("query", "order"));
			assertThat(GenerationStopperTests.this.outcomes,
					contains(new GenerationStopper.Outcome.Stopped(Optional.empty())));
		}

		@Test
		void preemptedGenerationThatItsServerDidNotKnowIsStoppedLater() {
			GenerationStopperTests.this.queryAnswer = () -> answered(ENDED);
			GenerationStopperTests.this.orderAnswer = () -> answered(new StopResult.Stopped(Optional.of("h3")));
			stopAfterClose();
			GenerationStopperTests.this.scheduler.advance(MAXIMUM_OVERLAP_MILLIS);
			assertThat(GenerationStopperTests.this.calls, contains("query", "order"));
			assertThat(GenerationStopperTests.this.releasedCopies, contains("h3"));
			assertThat(GenerationStopperTests.this.outcomes,
					contains(new GenerationStopper.Outcome.Stopped(Optional.empty())));
		}

		@Test
		void serverThatIgnoresItsClosedConnectionIsOrderedToStop() {
			GenerationStopperTests.this.orderAnswer = () -> answered(new StopResult.Stopped(Optional.of("h1")));
			stopAfterClose();
			GenerationStopperTests.this.scheduler.advance(MAXIMUM_OVERLAP_MILLIS);
			assertThat(GenerationStopperTests.this.outcomes,
					contains(new GenerationStopper.Outcome.Stopped(Optional.of("h1"))));
			assertThat(GenerationStopperTests.this.releasedCopies, empty());
		}

		@Test
		void lostOrderIsRepeated() {
			List<Answer> answers = new ArrayList<>(List.of(failed(DeliveryStatus.UNKNOWN, "no complete response", 60),
					failed(DeliveryStatus.UNKNOWN, "connection reset", 5), answered(ENDED)));
			GenerationStopperTests.this.orderAnswer = () -> answers.isEmpty() ? answered(ENDED) : answers.remove(0);
			stopAfterClose();
			GenerationStopperTests.this.scheduler.advance(MAXIMUM_OVERLAP_MILLIS);
			assertThat(GenerationStopperTests.this.outcomes,
					contains(new GenerationStopper.Outcome.Stopped(Optional.empty())));
		}

		@Test
		void serverThatNeverStopsIsReportedBeforeTheOverlapIsTooLong() {
			stopAfterClose();
			long startedMillis = GenerationStopperTests.this.scheduler.nowMillis();
			while (GenerationStopperTests.this.outcomes.isEmpty()) {
				GenerationStopperTests.this.scheduler.advance(1);
			}
			assertThat(GenerationStopperTests.this.outcomes, contains(new GenerationStopper.Outcome.StillRunning()));
			assertThat(GenerationStopperTests.this.scheduler.nowMillis() - startedMillis,
					lessThan(MAXIMUM_OVERLAP_MILLIS));
		}

		@Test
		void serverThatContinuesTheGenerationAgainIsNotStopped() {
			stopAfterClose();
			GenerationStopperTests.this.scheduler.advance(50);
			GenerationStopperTests.this.resumedOnSource = true;
			GenerationStopperTests.this.calls.clear();
			GenerationStopperTests.this.scheduler.advance(5_000);
			assertThat(GenerationStopperTests.this.calls, empty());
			assertThat(GenerationStopperTests.this.outcomes, empty());
		}

	}

	@Nested
	class UnreachedServers {

		@Test
		void connectionsThatFailForAnotherReasonDoNotProveThatTheServerHasEnded() {
			GenerationStopperTests.this.queryAnswer = () -> failed(DeliveryStatus.NOT_SENT, "no route to host", 1);
			GenerationStopperTests.this.orderAnswer = () -> answered(new StopResult.Stopped(Optional.of("h4")));
			stopAfterFailure();
			GenerationStopperTests.this.scheduler.advance(MAXIMUM_OVERLAP_MILLIS);
			assertThat(GenerationStopperTests.this.outcomes,
					contains(new GenerationStopper.Outcome.Stopped(Optional.of("h4"))));
		}

		@Test
		void serverThatRefusesConnectionsHasEnded() {
			GenerationStopperTests.this.queryAnswer = () -> failed(DeliveryStatus.NOT_SENT,
					HttpClientCall.CONNECTION_REFUSED_REASON, 1);
			stopAfterFailure();
			GenerationStopperTests.this.scheduler.advance(50);
			assertThat(GenerationStopperTests.this.outcomes,
					contains(new GenerationStopper.Outcome.Stopped(Optional.empty())));
			assertThat(GenerationStopperTests.this.calls, hasSize(2));
		}

		@Test
		void silentServerDoesNotHoldUpTheGeneration() {
			GenerationStopperTests.this.queryAnswer = GenerationStopperTests::connectTimeout;
			GenerationStopperTests.this.orderAnswer = GenerationStopperTests::connectTimeout;
			stopAfterFailure();
			GenerationStopperTests.this.scheduler.advance(200);
			assertThat(GenerationStopperTests.this.outcomes, contains(new GenerationStopper.Outcome.Unreachable()));
		}

		@Test
		void serverThatIsReachedAgainIsStoppedAndItsCopyReleased() {
			GenerationStopperTests.this.queryAnswer = GenerationStopperTests::connectTimeout;
			GenerationStopperTests.this.orderAnswer = GenerationStopperTests::connectTimeout;
			stopAfterFailure();
			GenerationStopperTests.this.scheduler.advance(1_000);
			GenerationStopperTests.this.orderAnswer = () -> answered(new StopResult.Stopped(Optional.of("h2")));
			GenerationStopperTests.this.calls.clear();
			GenerationStopperTests.this.scheduler.advance(MAXIMUM_OVERLAP_MILLIS);
			assertThat(GenerationStopperTests.this.calls, hasItem("order"));
			assertThat(GenerationStopperTests.this.outcomes, contains(new GenerationStopper.Outcome.Unreachable()));
			assertThat(GenerationStopperTests.this.releasedCopies, contains("h2"));
		}

		@Test
		void orderToSilentServerIsNotRepeatedForever() {
			GenerationStopperTests.this.queryAnswer = GenerationStopperTests::connectTimeout;
			GenerationStopperTests.this.orderAnswer = GenerationStopperTests::connectTimeout;
			stopAfterFailure();
			GenerationStopperTests.this.scheduler.advance(10_000);
			GenerationStopperTests.this.calls.clear();
			GenerationStopperTests.this.scheduler.advance(60_000);
			assertThat(GenerationStopperTests.this.calls.size(), is(0));
			assertThat(GenerationStopperTests.this.outcomes.size(), lessThanOrEqualTo(1));
		}

	}

}
