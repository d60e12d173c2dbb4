package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.skylarkspring.gateway.http.HttpConnector;
import org.skylarkspring.gateway.http.HttpTextClient;
import org.skylarkspring.gateway.model.ObjectKind;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests {@link HttpRelayClient} against a relay that sends a scripted response.
 */
class HttpRelayClientTests {

	private static final long CALL_TIMEOUT_MILLIS = 60_000;

	private static final long RESULT_TIMEOUT_MILLIS = 4_000;

	private static final String RESPONSE = "{\"source\":\"r\",\"outcome\":\"LISTED\",\"objects\":[],\"revision\":7}";

	private final BlockingQueue<Optional<RelayResponse>> results = new LinkedBlockingQueue<>();

	private volatile String response;

	private XnioWorker worker;

	private Undertow relay;

	@BeforeEach
	void startRelay() throws IOException {
		this.worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
		this.relay = Undertow.builder()
			.addHttpListener(0, "127.0.0.1", (exchange) -> exchange.getResponseSender().send(this.response))
			.build();
		this.relay.start();
	}

	@AfterEach
	void stopRelay() {
		this.relay.stop();
		this.worker.shutdownNow();
	}

	private Optional<RelayResponse> call(String relayResponse) throws InterruptedException {
		this.response = relayResponse;
		HttpRelayClient client = new HttpRelayClient(
				new HttpTextClient(
						new HttpConnector(this.worker.getIoThread(0), new DefaultByteBufferPool(true, 8 * 1024))),
				new DecisionLog());
		int port = ((InetSocketAddress) this.relay.getListenerInfo().get(0).getAddress()).getPort();
		RelayRequest request = new RelayRequest(RelayRequest.Operation.LIST, ObjectKind.SERVERS, "", 0, 0);
		this.worker.getIoThread(0)
			.execute(() -> client.call("127.0.0.1:" + port, request, CALL_TIMEOUT_MILLIS, this.results::add));
		return this.results.poll(RESULT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Nested
	class Responses {

		@Test
		void completeResponseIsRead() throws InterruptedException {
			assertThat(call(RESPONSE).map(RelayResponse::revision), is(Optional.of(7L)));
		}

		@ParameterizedTest
		@ValueSource(strings = { "null", "1e999", "\"x\"", "{}" })
		void responseWithUnreadableNumberIsTreatedAsMissing(String revision) throws InterruptedException {
			assertThat(call(RESPONSE.replace("7", revision)), is(Optional.empty()));
		}

		@Test
		void deeplyNestedResponseIsTreatedAsMissing() throws InterruptedException {
			assertThat(call(RESPONSE.replace("[]", "[".repeat(100_000) + "]".repeat(100_000))), is(Optional.empty()));
		}

	}

}
