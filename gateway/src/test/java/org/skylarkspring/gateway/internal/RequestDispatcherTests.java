package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.GenerationSize;
import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.model.RequestSemantics;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.model.WeightedService;
import org.skylarkspring.gateway.port.CallerProtocol;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests that a request whose dispatch fails with an exception is answered before its
 * deadline.
 */
class RequestDispatcherTests {

	private static final int READ_TIMEOUT_MILLIS = 2_000;

	private static final int DEADLINE_MILLIS = 60_000;

	private static final byte[] BODY = new byte[10];

	private final FakeObjectStore store = new FakeObjectStore();

	private XnioWorker worker;

	private Undertow server;

	private GatewayContext context;

	private ActiveRequestRegistry registry;

	private RequestDispatcher dispatcher;

	@BeforeEach
	void startServer() throws IOException {
		this.worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
		this.context = new GatewayContext(GatewaySettings.builder("gateway-1", "dc-1").build(),
				this.worker.getIoThread(0), new DefaultByteBufferPool(true, 8 * 1024), new HeaderlessCallerProtocol(),
				null);
		ConfigurationPoller configuration = new ConfigurationPoller(this.store::read, this.store::read,
				new VersionOnlyObjectDecoder(), this.context.scheduler, this.context.log, DEADLINE_MILLIS);
		this.registry = new ActiveRequestRegistry(this.context, configuration);
		this.server = Undertow.builder()
			.setWorker(this.worker)
			.addHttpListener(0, "127.0.0.1",
					(exchange) -> exchange.dispatch(exchange.getIoThread(), () -> start(exchange)))
			.build();
		this.server.start();
	}

	// Components that are null throw an exception where they are used.
	private void createDispatcher(RetryBudgets retryBudgets) {
		this.dispatcher = new RequestDispatcher(this.context, null, null, retryBudgets,
				new DataCentreReachabilityTracker(), this.registry, null, null);
	}

	private void start(HttpServerExchange exchange) {
		this.registry.bodyMemory().tryReserve(BODY.length);
		RouteSpec route = new RouteSpec("r", "a", "/", RequestSemantics.AT_MOST_ONCE, DEADLINE_MILLIS, DEADLINE_MILLIS,
				0, 0, List.of(new WeightedService("s", 1)), 1, true);
		ServiceSpec service = new ServiceSpec("s", 0, Optional.of(new EngineSpec(1, 1_000, false, false)));
		RequestHead head = new RequestHead("id", OptionalLong.empty(), Optional.empty(),
				Optional.of(new GenerationSize(10, 10, OptionalInt.empty())), List.of());
		this.dispatcher.start(new ActiveRequest(exchange, head, route, service, Optional.empty(), 0, BODY,
				new HeaderMap(), this.context.scheduler.nowMillis()));
	}

	private String sendRequest() throws IOException {
		int port = ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
		try (Socket caller = new Socket("127.0.0.1", port)) {
			caller.setSoTimeout(READ_TIMEOUT_MILLIS);
			caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			byte[] response = new byte[1_024];
			int count = caller.getInputStream().read(response);
			return new String(response, 0, Math.max(0, count), StandardCharsets.US_ASCII);
		}
	}

	private void assertRefusedAndReleased() throws IOException {
		assertThat(sendRequest(), startsWith("HTTP/1.1 503"));
		assertThat(this.registry.requests(), is(empty()));
		assertThat(this.registry.bodyMemory().heldBytes(), is(0L));
	}

	@AfterEach
	void stopServer() {
		this.server.stop();
		this.worker.shutdownNow();
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

	/**
	 * Protocol of callers that send no headers.
	 */
	private static final class HeaderlessCallerProtocol implements CallerProtocol {

		@Override
		public Optional<RequestHead> decodeRequestHeaders(HeaderMap headers) {
			return Optional.empty();
		}

		@Override
		public void encodeRetryAfter(HeaderMap headers, long retryAfterMillis) {
			headers.put(Headers.RETRY_AFTER, 1);
		}

		@Override
		public boolean shouldStripHeader(HttpString name) {
			return false;
		}

	}

}
