package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.DefaultByteBufferPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests {@link TimeoutTimer} and the connect timeout that is based on it.
 */
class TimeoutTimerTests {

	private static final long TIMEOUT_MILLIS = 50;

	/** Time for which the I/O thread is held up, longer than the timeout. */
	private static final long HOLD_UP_MILLIS = 200;

	private static final long RESULT_TIMEOUT_MILLIS = 8_000;

	private XnioWorker worker;

	private XnioIoThread ioThread;

	@BeforeEach
	void startIoThread() throws IOException {
		this.worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
		this.ioThread = this.worker.getIoThread(0);
	}

	@AfterEach
	void stopIoThread() {
		this.worker.shutdownNow();
	}

	private static void holdUp() {
		try {
			Thread.sleep(HOLD_UP_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private static <T> T await(CompletableFuture<T> result) throws Exception {
		return result.get(RESULT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private long millisUntilTimeout(long timeoutMillis, Runnable afterStart) throws Exception {
		CompletableFuture<Long> elapsed = new CompletableFuture<>();
		this.ioThread.execute(() -> {
			long startNanos = System.nanoTime();
			TimeoutTimer.start(this.ioThread, timeoutMillis,
					() -> elapsed.complete(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)));
			afterStart.run();
		});
		return await(elapsed);
	}

	@Nested
	class HeldUpThreads {

		@Test
		void connectionEstablishedMeanwhileIsNotGivenUp() throws Exception {
			try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
				CompletableFuture<String> outcome = new CompletableFuture<>();
				HttpConnector connector = new HttpConnector(TimeoutTimerTests.this.ioThread,
						new DefaultByteBufferPool(true, 16 * 1024));
				TimeoutTimerTests.this.ioThread.execute(() -> {
					new HttpClientCall(connector, new OutcomeListener(outcome)).start(
							"127.0.0.1:" + server.getLocalPort(), new ClientRequest().setPath("/"), new byte[0],
							TIMEOUT_MILLIS);
					holdUp();
				});
				assertThat(await(outcome), is("connected"));
			}
		}

		@Test
		void timeoutWaitsOnceMore() throws Exception {
			assertThat(millisUntilTimeout(TIMEOUT_MILLIS, TimeoutTimerTests::holdUp),
					is(greaterThanOrEqualTo(HOLD_UP_MILLIS + TIMEOUT_MILLIS)));
		}

		@Test
		void timeoutExpiresAlthoughThreadIsHeldUpAgainAndAgain() throws Exception {
			Runnable[] holdUpAgain = new Runnable[1];
			holdUpAgain[0] = () -> {
				holdUp();
				TimeoutTimerTests.this.ioThread.executeAfter(holdUpAgain[0], 1, TimeUnit.MILLISECONDS);
			};
			assertThat(millisUntilTimeout(TIMEOUT_MILLIS, holdUpAgain[0]),
					is(lessThan(4 * (HOLD_UP_MILLIS + TIMEOUT_MILLIS))));
		}

	}

	@Nested
	class PromptThreads {

		@Test
		void timeoutExpiresWithoutDelay() throws Exception {
			assertThat(millisUntilTimeout(2 * HOLD_UP_MILLIS, () -> {
			}), is(allOf(greaterThanOrEqualTo(2 * HOLD_UP_MILLIS), lessThan(4 * HOLD_UP_MILLIS))));
		}

		@Test
		void removedTimerDoesNotExpire() throws Exception {
			CompletableFuture<String> outcome = new CompletableFuture<>();
			TimeoutTimerTests.this.ioThread.execute(() -> {
				TimeoutTimer.start(TimeoutTimerTests.this.ioThread, TIMEOUT_MILLIS, () -> outcome.complete("expired"))
					.remove();
				TimeoutTimerTests.this.ioThread.executeAfter(() -> outcome.complete("removed"), HOLD_UP_MILLIS,
						TimeUnit.MILLISECONDS);
			});
			assertThat(await(outcome), is("removed"));
		}

	}

	/**
	 * Reports whether the connection was established.
	 */
	private record OutcomeListener(CompletableFuture<String> outcome) implements HttpClientCall.Listener {

		@Override
		public HttpClientCall.SendDecision beforeSend() {
			this.outcome.complete("connected");
			return HttpClientCall.SendDecision.SEND;
		}

		@Override
		public void onResponseHeaders(ClientResponse response) {
		}

		@Override
		public boolean onData(ByteBuffer data) {
			return true;
		}

		@Override
		public void onComplete() {
		}

		@Override
		public void onFailure(DeliveryStatus status, String reason) {
			this.outcome.complete(status + ": " + reason);
		}

	}

}
