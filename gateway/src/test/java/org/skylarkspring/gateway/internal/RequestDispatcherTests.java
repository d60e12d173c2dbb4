package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.GenerationSize;
import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.placement.DataCentreReachabilityTracker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests that a request whose dispatch fails with an exception is answered before its
 * deadline.
 */
class RequestDispatcherTests extends DispatcherTestBase {

	private static final byte[] BODY = new byte[10];

	private RequestDispatcher dispatcher;

	// Components that are null throw an exception where they are used.
	private void createDispatcher(RetryBudgets retryBudgets) {
		this.dispatcher = new RequestDispatcher(this.context, null, null, retryBudgets,
				new DataCentreReachabilityTracker(), this.registry, null, null);
	}

	@Override
	void start(HttpServerExchange exchange) {
		this.registry.bodyMemory().tryReserve(BODY.length);
		ServiceSpec service = new ServiceSpec("s", 0, Optional.of(new EngineSpec(1, 1_000, false, false)));
		RequestHead head = new RequestHead("id", OptionalLong.empty(), Optional.empty(),
				Optional.of(new GenerationSize(10, 10, OptionalInt.empty())), List.of());
		this.dispatcher.start(new ActiveRequest(exchange, head, ROUTE, service, Optional.empty(), 0, BODY,
				new ForwardedHead("/", new HeaderMap()), this.context.scheduler.nowMillis()));
	}

	private void assertRefusedAndReleased() throws IOException {
		assertThat(sendRequest(), startsWith("HTTP/1.1 503"));
		assertThat(this.registry.requests(), is(empty()));
		assertThat(this.registry.bodyMemory().heldBytes(), is(0L));
	}

	@Nested
	class Exceptions {

		private RetryBudgets budgets() {
			return new RetryBudgets(RequestDispatcherTests.this.context.settings,
					RequestDispatcherTests.this.context.scheduler, null);
		}

		@Test
		void callerIsNotLeftWithoutAnswerByAnExceptionBeforeTheDeadlineTimer() throws IOException {
			createDispatcher(null);
			assertRefusedAndReleased();
		}

		@Test
		void callerIsNotLeftToItsDeadlineByAnExceptionOfTheLoadRefresh() throws IOException {
			createDispatcher(budgets());
			RequestDispatcherTests.this.dispatcher.setPeerLoadCallbacks((task) -> {
				throw new IllegalStateException("exception of the refresh");
			}, () -> {
			});
			assertRefusedAndReleased();
		}

		@Test
		void callerIsNotLeftToItsDeadlineByAnExceptionAfterTheLoadRefresh() throws IOException {
			createDispatcher(budgets());
			Consumer<Runnable> refresher = (task) -> RequestDispatcherTests.this.context.ioThread.execute(task);
			RequestDispatcherTests.this.dispatcher.setPeerLoadCallbacks(refresher, () -> {
			});
			assertRefusedAndReleased();
		}

	}

}
