package org.skylarkspring.entry.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

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

import org.skylarkspring.core.model.Verdict;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a malformed response fails its request, on a new connection and on one that
 * is kept.
 */
class MalformedResponseTests {

	private static final long TIMEOUT_MILLIS = 4_000;

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String VALID = OK + "Content-Length: 5\r\n\r\nhello";

	private static final String VALID_CHUNKS = OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

	private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

	private final AtomicInteger connections = new AtomicInteger();

	private XnioWorker worker;

	private AsyncHttpClient client;

	private ServerSocket server;

	@BeforeEach
	void startServer() throws IOException {
		this.worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
		this.client = new AsyncHttpClient(this.worker,
				new HttpConnectionPool(new DefaultByteBufferPool(true, 8 * 1024)));
		this.server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		Thread acceptor = new Thread(this::acceptConnections);
		acceptor.setDaemon(true);
		acceptor.start();
	}

	@AfterEach
	void stopServer() throws IOException {
		this.server.close();
		this.worker.shutdownNow();
	}

	private void acceptConnections() {
		try {
			while (true) {
				try (Socket connection = this.server.accept()) {
					this.connections.incrementAndGet();
					serve(connection);
				}
			}
		}
		catch (IOException ex) {
			// The test has ended.
			return;
		}
	}

	private void serve(Socket connection) throws IOException {
		while (!this.responses.isEmpty() && readRequest(connection.getInputStream())) {
			connection.getOutputStream().write(this.responses.remove().getBytes(StandardCharsets.ISO_8859_1));
		}
	}

	private static boolean readRequest(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return false;
			}
			head.append((char) next);
		}
		return true;
	}

	private CompletableFuture<HttpClientResponse> send() {
		HttpClientRequest request = HttpClientRequest.get("127.0.0.1:" + this.server.getLocalPort(), "/");
		return this.client.send(request, TIMEOUT_MILLIS);
	}

	private void assertRequestIsAnswered() {
		assertThat(send().join().body(), is("hello"));
	}

	private void assertRequestMayHaveRun() {
		Throwable failure = send().handle((response, exception) -> exception).join();
		assertThat(failure, instanceOf(HttpClientException.class));
		assertThat(((HttpClientException) failure).verdict(), is(Verdict.MAY_HAVE_RUN));
	}

	@Nested
	class Heads {

		@ParameterizedTest
		@ValueSource(strings = { "Content-Length: 4\r\nContent-Length: 8", "Content-Length: 8\r\nContent-Length: 8",
				"Content-Length: +4", "Content-Length: x", "Content-Length: -1", "Content-Length: 4, 8",
				"Transfer-Encoding: identity", "Transfer-Encoding: chunked, gzip", "X: y\r\n Content-Length: 4", "junk",
				": 4", "Content Length: 4", "Content\u0000-Length: 4", "X: a\u0001b" })
		void spoiltFieldFailsTheRequest(String lines) {
			MalformedResponseTests.this.responses.add(OK + lines + "\r\n\r\nodd-body");
			assertRequestMayHaveRun();
		}

		@ParameterizedTest
		@ValueSource(strings = { "000", "0", "99", "600", "999", "2x0", "-1", "+200" })
		void invalidStatusFailsTheRequest(String status) {
			MalformedResponseTests.this.responses.add(VALID.replace("200", status));
			assertRequestMayHaveRun();
		}

		@ParameterizedTest
		@ValueSource(strings = { "102", "103", "199" })
		void interimResponseIsNone(String status) {
			MalformedResponseTests.this.responses.add(VALID.replace("200", status));
			assertRequestMayHaveRun();
		}

		@ParameterizedTest
		@ValueSource(strings = { "Content-Length: 4\r\nContent-Length: 8", "X: y\r\n Content-Length: 4", "junk" })
		void refusalIsNotBelieved(String lines) {
			MalformedResponseTests.this.responses.add("HTTP/1.1 503 Busy\r\n" + lines + "\r\n\r\nodd-body");
			assertRequestMayHaveRun();
		}

	}

	@Nested
	class Chunks {

		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 503 Busy\r\n\r\n", "5\r\nhello\r\nHTTP/1.1 503 Busy\r\n\r\n",
				"5\r\nhelloworld\r\n0\r\n\r\n", "\r\n0\r\n\r\n" })
		void bytesThatAreNoChunkFailTheRequest(String body) {
			MalformedResponseTests.this.responses.add(OK + "Transfer-Encoding: chunked\r\n\r\n" + body);
			assertRequestMayHaveRun();
		}

	}

	@Nested
	class BodiesWithoutLength {

		@Test
		void chunksWithoutTransferEncodingFailTheRequest() {
			MalformedResponseTests.this.responses.add(VALID_CHUNKS.replace("Transfer-Encoding", "Transfer-Encodinf"));
			assertRequestMayHaveRun();
		}

		@Test
		void otherBodyEndsWithItsConnection() {
			MalformedResponseTests.this.responses.add(OK + "\r\nhello");
			assertRequestIsAnswered();
		}

	}

	@Nested
	class KeptConnections {

		@Test
		void validResponsesFollowEachOther() {
			for (int round = 0; round < 3; round++) {
				MalformedResponseTests.this.responses.add(VALID);
				MalformedResponseTests.this.responses.add(VALID_CHUNKS);
			}
			for (int number = 0; number < 6; number++) {
				assertRequestIsAnswered();
			}
			assertThat(MalformedResponseTests.this.connections.get(), is(1));
		}

		@ParameterizedTest
		@ValueSource(strings = { VALID, VALID_CHUNKS })
		void malformedResponseAfterValidOneFailsTheRequest(String first) {
			MalformedResponseTests.this.responses.add(first);
			MalformedResponseTests.this.responses.add(OK + "Content-Length: 4\r\nContent-Length: 8\r\n\r\nodd-body");
			assertRequestIsAnswered();
			assertRequestMayHaveRun();
		}

		@Test
		void connectionWithMalformedResponseIsNotUsedAgain() {
			MalformedResponseTests.this.responses.add(OK + "Content-Length: 4\r\nContent-Length: 8\r\n\r\nodd-body");
			MalformedResponseTests.this.responses.add(VALID);
			assertRequestMayHaveRun();
			assertRequestIsAnswered();
			assertThat(MalformedResponseTests.this.connections.get(), is(2));
		}

	}

}
