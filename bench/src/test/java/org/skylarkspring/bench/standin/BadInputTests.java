package org.skylarkspring.bench.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.undertow.util.HttpString;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.skylarkspring.bench.load.IdempotencyKey;
import org.skylarkspring.bench.load.StreamedAnswer;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.HttpClientResponse;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Bad input gets a clear refusal and nothing runs.
 */
class BadInputTests {

	private static final String KEY = "plans-test-key";

	private static final String BOOKINGS = "/services/inguzanyo/bookings";

	@TempDir
	private static Path folder;

	private static LocalStack stack;

	@BeforeAll
	static void start() throws IOException {
		stack = new LocalStack(folder, 1_000);
	}

	@AfterAll
	static void stop() {
		stack.close();
	}

	private static HttpClientResponse post(String path, String key, Map<String, String> headers, String body) {
		HttpClientRequest call = new HttpClientRequest(stack.caller, new HttpString("POST"), path, headers,
				Optional.of(body), false);
		return stack.client.call(call.withHeader("Authorization", "Bearer " + key)).join();
	}

	private static int port() {
		return Integer.parseInt(stack.caller.substring(stack.caller.indexOf(':') + 1));
	}

	private static HttpClientResponse complete(String key, String body) {
		return post("/v1/completions", key, Map.of(), body);
	}

	private static void refused(HttpClientResponse reply, int status, String code) {
		assertThat(reply.body(), containsString("\"code\":\"" + code + "\""));
		assertThat(reply.status(), is(status));
	}

	private static void notRun(HttpClientResponse reply, int status, String code) {
		refused(reply, status, code);
		assertThat(reply.body(), containsString("\"verdict\":\"not-run\""));
	}

	@Test
	void soundInputWorks() {
		StreamedAnswer answer = stack.client.complete(stack.caller, KEY, "inyigisho", "a sound prompt", 8).join();
		assertThat(answer.error(), answer.check("a sound prompt", 8), is(StreamedAnswer.Check.WHOLE));
	}

	@Nested
	class Completions {

		@Test
		void refuseUnknownKey() {
			notRun(complete("nobody", "{\"model\":\"inyigisho\",\"prompt\":\"x\"}"), 401, "unknown-key");
		}

		@Test
		void refuseUnknownService() {
			notRun(complete(KEY, "{\"model\":\"elsewhere\",\"prompt\":\"x\"}"), 404, "unknown-service");
		}

		@Test
		void refusePlainServiceAsModel() {
			notRun(complete(KEY, "{\"model\":\"inguzanyo\",\"prompt\":\"x\"}"), 404, "unknown-service");
		}

		@Test
		void refuseMalformedJson() {
			notRun(complete(KEY, "{\"model\": "), 400, "malformed");
		}

		@Test
		void refuseJsonOfAnotherShape() {
			notRun(complete(KEY, "[1, 2]"), 400, "malformed");
		}

		@Test
		void refuseAbsurdTokenLimit() {
			notRun(complete(KEY, "{\"model\":\"inyigisho\",\"prompt\":\"x\",\"max_tokens\":-5}"), 400, "malformed");
		}

		@Test
		void refuseOversizeBody() {
			notRun(complete(KEY, "{\"model\":\"inyigisho\",\"prompt\":\"" + "x".repeat(5_000) + "\"}"), 413,
					"too-large");
		}

		@Test
		void refuseSlowSender() throws IOException {
			try (Socket socket = new Socket("127.0.0.1", port())) {
				OutputStream output = socket.getOutputStream();
				output.write(("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + KEY
						+ "\r\nContent-Length: 100\r\n\r\n{")
					.getBytes(StandardCharsets.UTF_8));
				output.flush();
				String reply = new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8);
				assertThat(reply, startsWith("HTTP/1.1 408"));
			}
		}

	}

	@Nested
	class Connections {

		@Test
		void aboveTheMaximumAreRefusedAndClosed() throws IOException {
			List<Socket> sockets = new ArrayList<>();
			String last = "";
			try {
				while (!last.startsWith("HTTP/1.1 503") && sockets.size() <= LocalStack.MAXIMUM_CONNECTIONS) {
					Socket socket = new Socket("127.0.0.1", port());
					sockets.add(socket);
					socket.getOutputStream()
						.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
					last = new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8);
				}
			}
			finally {
				for (Socket socket : sockets) {
					socket.close();
				}
			}
			assertThat(last, startsWith("HTTP/1.1 503"));
			assertThat(sockets.size(), greaterThan(LocalStack.MAXIMUM_CONNECTIONS / 2));
		}

	}

	@Nested
	class PlainCalls {

		@Test
		void refuseMissingKey() {
			notRun(post(BOOKINGS, KEY, Map.of(), "{}"), 400, "key-required");
		}

		@Test
		void refuseMalformedKey() {
			notRun(post(BOOKINGS, KEY, Map.of("Idempotency-Key", "order-17"), "{}"), 400, "key-malformed");
		}

		@Test
		void refuseExpiredKeyWithoutSayingNotRun() {
			HttpClientResponse reply = post(BOOKINGS, KEY,
					Map.of("Idempotency-Key", IdempotencyKey.issuedAt(1_000_000)), "{}");
			refused(reply, 410, "key-expired");
			assertThat(reply.body(), containsString("\"verdict\":\"may-have-run\""));
		}

		@Test
		void refuseReusedKeyWithAnotherBody() {
			String key = IdempotencyKey.issuedAt(System.currentTimeMillis());
			assertThat(post(BOOKINGS, KEY, Map.of("Idempotency-Key", key), "{\"a\":1}").status(), is(201));
			notRun(post(BOOKINGS, KEY, Map.of("Idempotency-Key", key), "{\"a\":2}"), 422, "key-reused");
		}

		@Test
		void refuseUnknownService() {
			notRun(post("/services/elsewhere/x", KEY, Map.of(), "{}"), 404, "unknown-service");
		}

	}

	@Nested
	class Operators {

		@Test
		void seeWhatIsInForce() {
			assertThat(stack.cli("list", "services"), containsString("\"maximumBodyBytes\":4000"));
			assertThat(stack.cli("status"), containsString("engine-1"));
			assertThat(stack.cli("orders"), containsString("engine-1"));
		}

		@Test
		void drainAndRestoreAServer() {
			assertThat(stack.cli("drain", "server", "engine-9"), startsWith("DONE"));
			assertThat(stack.cli("status"), containsString("drained: SERVER engine-9"));
			assertThat(stack.cli("restore", "server", "engine-9"), startsWith("DONE"));
		}

		@Test
		void areToldOfAnotherRevision() {
			assertThat(stack.cli("publish", folder.toString(), "--expect", "77"),
					containsString("revision 1 is in force, not 77"));
		}

	}

	@Nested
	class ControlPaths {

		@Test
		void areNotReachedByCallers() {
			assertThat(post("/admin/drain", LocalStack.ADMIN_KEY, Map.of(), "{}").status(), is(404));
			assertThat(post("/peer/exchange", KEY, Map.of("X-Peer-Key", LocalStack.PEER_KEY), "{}").status(), is(404));
		}

		@Test
		void needTheirOwnCredentials() {
			HttpClientRequest admin = HttpClientRequest.get(stack.control, "/admin/status")
				.withHeader("Authorization", "Bearer " + KEY);
			assertThat(stack.client.call(admin).join().status(), is(401));
			HttpClientRequest peer = HttpClientRequest.get(stack.control, "/peer/manifest")
				.withHeader("X-Peer-Key", "wrong");
			assertThat(stack.client.call(peer).join().status(), is(401));
		}

	}

}
