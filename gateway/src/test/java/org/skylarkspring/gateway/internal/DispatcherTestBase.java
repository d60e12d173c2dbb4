package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.model.RequestSemantics;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.WeightedService;

/**
 * Base class of tests that let a dispatcher start the requests of a caller over a socket.
 */
abstract class DispatcherTestBase {

	static final int DEADLINE_MILLIS = 60_000;

	static final RouteSpec ROUTE = new RouteSpec("r", "a", "/", RequestSemantics.AT_MOST_ONCE, DEADLINE_MILLIS,
			DEADLINE_MILLIS, 0, 0, List.of(new WeightedService("s", 1)), 1, true);

	private static final int READ_TIMEOUT_MILLIS = 2_000;

	final FakeObjectStore store = new FakeObjectStore();

	private XnioWorker worker;

	private Undertow server;

	GatewayContext context;

	ConfigurationPoller configuration;

	ActiveRequestRegistry registry;

	@BeforeEach
	void startServer() throws IOException {
		this.worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
		this.context = new GatewayContext(GatewaySettings.builder("gateway-1", "dc-1").build(),
				this.worker.getIoThread(0), new DefaultByteBufferPool(true, 8 * 1024), new HeaderlessCallerProtocol(),
				new HeaderlessServerProtocol());
		this.configuration = new ConfigurationPoller(this.store::read, this.store::read, new VersionOnlyObjectDecoder(),
				this.context.scheduler, this.context.log, DEADLINE_MILLIS);
		this.registry = new ActiveRequestRegistry(this.context, this.configuration);
		this.server = Undertow.builder()
			.setWorker(this.worker)
			.addHttpListener(0, "127.0.0.1",
					(exchange) -> exchange.dispatch(exchange.getIoThread(), () -> start(exchange)))
			.build();
		this.server.start();
	}

	@AfterEach
	void stopServer() {
		this.server.stop();
		this.worker.shutdownNow();
	}

	/**
	 * Starts a request.
	 * @param exchange exchange with the caller
	 */
	abstract void start(HttpServerExchange exchange);

	final String sendRequest() throws IOException {
		try (Socket caller = openCaller()) {
			byte[] response = new byte[1_024];
			int count = caller.getInputStream().read(response);
			return new String(response, 0, Math.max(0, count), StandardCharsets.US_ASCII);
		}
	}

	/**
	 * Opens the connection of a caller and sends a request.
	 * @return the connection
	 * @throws IOException if the request cannot be sent
	 */
	final Socket openCaller() throws IOException {
		int port = ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
		Socket caller = new Socket("127.0.0.1", port);
		caller.setSoTimeout(READ_TIMEOUT_MILLIS);
		caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		return caller;
	}

}
