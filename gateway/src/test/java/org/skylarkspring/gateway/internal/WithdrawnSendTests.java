package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.http.HttpTextRequest;
import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.model.MigrationResult;
import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.model.RequestSemantics;
import org.skylarkspring.gateway.model.ResponseHead;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.model.StopResult;
import org.skylarkspring.gateway.model.WeightedService;
import org.skylarkspring.gateway.policy.ClusterMember;
import org.skylarkspring.gateway.policy.PlacementCostFunctions;
import org.skylarkspring.gateway.port.CallerProtocol;
import org.skylarkspring.gateway.port.ServerProtocol;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests that a request that is not sent, because its server stopped accepting requests
 * while the connection was established, is no failure of the server.
 */
class WithdrawnSendTests {

	private static final int READ_TIMEOUT_MILLIS = 2_000;

	private static final int DEADLINE_MILLIS = 60_000;

	private final FakeObjectStore store = new FakeObjectStore();

	private XnioWorker worker;

	private Undertow server;

	private ServerSocket backend;

	private GatewayContext context;

	private ServerEntry entry;

	private RequestDispatcher dispatcher;

	@BeforeEach
	void startServer() throws IOException {
		this.worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
		this.backend = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		this.context = new GatewayContext(GatewaySettings.builder("gateway-1", "dc-1").build(),
				this.worker.getIoThread(0), new DefaultByteBufferPool(true, 8 * 1024), new HeaderlessCallerProtocol(),
				new HeaderlessServerProtocol());
		createDispatcher();
		this.server = Undertow.builder()
			.setWorker(this.worker)
			.addHttpListener(0, "127.0.0.1",
					(exchange) -> exchange.dispatch(exchange.getIoThread(), () -> startAndDrain(exchange)))
			.build();
		this.server.start();
	}

	private void createDispatcher() {
		ServerTable servers = new ServerTable((terminating) -> {
		});
		servers.addOrUpdate(
				new ServerRegistration("i-1", "s", "127.0.0.1:" + this.backend.getLocalPort(), "dc-1", 6, false, 0, 1),
				0);
		this.entry = servers.find("i-1").orElseThrow();
		PeerTable peers = new PeerTable(new ClusterMember("gateway-1", "dc-1", 1), 5);
		ServerRateLimits rateLimits = new ServerRateLimits(this.context, servers, peers);
		DataCentreReachabilityTracker reachability = new DataCentreReachabilityTracker();
		ServerSelector selector = new ServerSelector(this.context, servers, peers, rateLimits, reachability,
				PlacementCostFunctions.leastLoaded());
		ConfigurationPoller configuration = new ConfigurationPoller(this.store::read, this.store::read,
				new VersionOnlyObjectDecoder(), this.context.scheduler, this.context.log, DEADLINE_MILLIS);
		ActiveRequestRegistry registry = new ActiveRequestRegistry(this.context, configuration);
		this.dispatcher = new RequestDispatcher(this.context, configuration, selector,
				new RetryBudgets(this.context.settings, this.context.scheduler, peers), reachability, registry,
				new PromptQuarantine(this.context, this.store, registry), rateLimits);
		this.dispatcher.setMigrator(new GenerationMigrator(this.context, this.dispatcher, registry, selector));
	}

	// The connection is established after this task.
	private void startAndDrain(HttpServerExchange exchange) {
		RouteSpec route = new RouteSpec("r", "a", "/", RequestSemantics.AT_MOST_ONCE, DEADLINE_MILLIS, DEADLINE_MILLIS,
				0, 0, List.of(new WeightedService("s", 1)), 1, true);
		RequestHead head = new RequestHead("id", OptionalLong.empty(), Optional.empty(), Optional.empty(), List.of());
		this.dispatcher.start(new ActiveRequest(exchange, head, route, new ServiceSpec("s", 0, Optional.empty()),
				Optional.empty(), 0, new byte[0], new HeaderMap(), this.context.scheduler.nowMillis()));
		this.entry.terminating = true;
	}

	@AfterEach
	void stopServer() throws IOException {
		this.server.stop();
		this.worker.shutdownNow();
		this.backend.close();
	}

	@Test
	void serverThatGotNothingBecauseItDrainsIsNotTakenForFailed() throws IOException {
		int port = ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
		try (Socket caller = new Socket("127.0.0.1", port)) {
			caller.setSoTimeout(READ_TIMEOUT_MILLIS);
			caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			byte[] response = new byte[1_024];
			int count = caller.getInputStream().read(response);
			assertThat(new String(response, 0, count, StandardCharsets.US_ASCII), startsWith("HTTP/1.1 503"));
		}
		long now = this.context.scheduler.nowMillis();
		assertThat("requests sent", this.entry.attempts.size(), is(0));
		assertThat("ejected", this.entry.isEjected(now), is(false));
		assertThat("failure rate", this.entry.failureRate(now), is(0.0));
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

	/**
	 * Protocol of servers that receive only the headers of callers.
	 */
	private static final class HeaderlessServerProtocol implements ServerProtocol {

		@Override
		public void encodeRequestHeaders(DispatchHead head, HeaderMap headers) {
			headers.put(Headers.HOST, "a");
		}

		@Override
		public ResponseHead decodeResponseHeaders(int status, HeaderMap headers) {
			throw new UnsupportedOperationException();
		}

		@Override
		public HttpTextRequest buildMigrationRequest(String requestId, String targetAddress) {
			throw new UnsupportedOperationException();
		}

		@Override
		public MigrationResult decodeMigrationResult(HttpTextResult result) {
			throw new UnsupportedOperationException();
		}

		@Override
		public HttpTextRequest buildRunQuery(String requestId, String serverAddress) {
			throw new UnsupportedOperationException();
		}

		@Override
		public StopResult decodeRunQueryResult(HttpTextResult result) {
			throw new UnsupportedOperationException();
		}

		@Override
		public HttpTextRequest buildStopRequest(String requestId, String targetAddress) {
			throw new UnsupportedOperationException();
		}

		@Override
		public StopResult decodeStopResult(HttpTextResult result) {
			throw new UnsupportedOperationException();
		}

		@Override
		public HttpTextRequest buildReportRequest() {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean reportsDraining(HttpTextResult result) {
			throw new UnsupportedOperationException();
		}

		@Override
		public HttpTextRequest buildReleaseRequest(String handle) {
			throw new UnsupportedOperationException();
		}

	}

}
