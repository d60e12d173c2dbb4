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

import org.skylarkspring.bench.load.IdempotencyKeyGenerator;
import org.skylarkspring.bench.load.StreamedResponse;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.HttpClientResponse;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Checks that the entry instance rejects invalid requests with the documented status,
 * code and verdict, and that operators' commands and control endpoints validate their
 * input and credentials.
 */
class InvalidInputTests {

	private static final String WORKSPACE_KEY = "plans-test-key";

	private static final String BOOKINGS_PATH = "/services/inguzanyo/bookings";

	@TempDir
	private static Path folder;

	private static LocalStack stack;

	@BeforeAll
	static void startStack() throws IOException {
		stack = new LocalStack(folder, 1_000);
	}

	@AfterAll
	static void stopStack() {
		stack.close();
	}

	private static HttpClientResponse post(String path, String key, Map<String, String> headers, String body) {
		HttpClientRequest request = new HttpClientRequest(stack.callerAddress, new HttpString("POST"), path, headers,
				Optional.of(body), false);
		return stack.client.call(request.withHeader("Authorization", "Bearer " + key)).join();
	}

	private static int callerPort() {
		return Integer.parseInt(stack.callerAddress.substring(stack.callerAddress.indexOf(':') + 1));
	}

	private static HttpClientResponse postCompletion(String key, String body) {
		return post("/v1/completions", key, Map.of(), body);
	}

	private static void assertRefused(HttpClientResponse response, int status, String code) {
		assertThat(response.body(), containsString("\"code\":\"" + code + "\""));
		assertThat(response.status(), is(status));
	}

	private static void assertRefusedAsNotRun(HttpClientResponse response, int status, String code) {
		assertRefused(response, status, code);
		assertThat(response.body(), containsString("\"verdict\":\"not-run\""));
	}

	@Test
	void completesValidRequest() {
		StreamedResponse response = stack.client
			.requestCompletion(stack.callerAddress, WORKSPACE_KEY, "inyigisho", "a sound prompt", 8)
			.join();
		assertThat(response.error(), response.check("a sound prompt", 8), is(StreamedResponse.CheckResult.WHOLE));
	}

	@Nested
	class Completions {

		@Test
		void refusesCompletionWithUnknownWorkspaceKey() {
			assertRefusedAsNotRun(postCompletion("nobody", "{\"model\":\"inyigisho\",\"prompt\":\"x\"}"), 401,
					"unknown-key");
		}

		@Test
		void refusesCompletionForUnknownService() {
			assertRefusedAsNotRun(postCompletion(WORKSPACE_KEY, "{\"model\":\"elsewhere\",\"prompt\":\"x\"}"), 404,
					"unknown-service");
		}

		@Test
		void refusesCompletionForPlainService() {
			assertRefusedAsNotRun(postCompletion(WORKSPACE_KEY, "{\"model\":\"inguzanyo\",\"prompt\":\"x\"}"), 404,
					"unknown-service");
		}

		@Test
		void refusesCompletionWithMalformedJson() {
			assertRefusedAsNotRun(postCompletion(WORKSPACE_KEY, "{\"model\": "), 400, "malformed");
		}

		@Test
		void refusesCompletionWhenJsonIsNotAnObject() {
			assertRefusedAsNotRun(postCompletion(WORKSPACE_KEY, "[1, 2]"), 400, "malformed");
		}

		@Test
		void refusesCompletionWithNegativeTokenLimit() {
			assertRefusedAsNotRun(
					postCompletion(WORKSPACE_KEY, "{\"model\":\"inyigisho\",\"prompt\":\"x\",\"max_tokens\":-5}"), 400,
					"malformed");
		}

		@Test
		void refusesCompletionWithOversizedBody() {
			assertRefusedAsNotRun(
					postCompletion(WORKSPACE_KEY, "{\"model\":\"inyigisho\",\"prompt\":\"" + "x".repeat(5_000) + "\"}"),
					413, "too-large");
		}

		@Test
		void returnsRequestTimeoutWhenBodyArrivesTooSlowly() throws IOException {
			try (Socket socket = new Socket("127.0.0.1", callerPort())) {
				OutputStream output = socket.getOutputStream();
				output.write(("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + WORKSPACE_KEY
						+ "\r\nContent-Length: 100\r\n\r\n{")
					.getBytes(StandardCharsets.UTF_8));
				output.flush();
				String response = new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8);
				assertThat(response, startsWith("HTTP/1.1 408"));
			}
		}

	}

	@Nested
	class Connections {

		@Test
		void returnsServiceUnavailableWhenConnectionLimitIsReached() throws IOException {
			List<Socket> sockets = new ArrayList<>();
			String last = "";
			try {
				while (!last.startsWith("HTTP/1.1 503") && sockets.size() <= LocalStack.MAXIMUM_CONNECTIONS) {
					Socket socket = new Socket("127.0.0.1", callerPort());
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
		void refusesPlainCallWithoutIdempotencyKey() {
			assertRefusedAsNotRun(post(BOOKINGS_PATH, WORKSPACE_KEY, Map.of(), "{}"), 400, "key-required");
		}

		@Test
		void refusesPlainCallWithMalformedIdempotencyKey() {
			assertRefusedAsNotRun(post(BOOKINGS_PATH, WORKSPACE_KEY, Map.of("Idempotency-Key", "order-17"), "{}"), 400,
					"key-malformed");
		}

		@Test
		void reportsMayHaveRunForExpiredIdempotencyKey() {
			HttpClientResponse response = post(BOOKINGS_PATH, WORKSPACE_KEY,
					Map.of("Idempotency-Key", IdempotencyKeyGenerator.generate(1_000_000)), "{}");
			assertRefused(response, 410, "key-expired");
			assertThat(response.body(), containsString("\"verdict\":\"may-have-run\""));
		}

		@Test
		void refusesReusedIdempotencyKeyWithDifferentBody() {
			String key = IdempotencyKeyGenerator.generate(System.currentTimeMillis());
			assertThat(post(BOOKINGS_PATH, WORKSPACE_KEY, Map.of("Idempotency-Key", key), "{\"a\":1}").status(),
					is(201));
			assertRefusedAsNotRun(post(BOOKINGS_PATH, WORKSPACE_KEY, Map.of("Idempotency-Key", key), "{\"a\":2}"), 422,
					"key-reused");
		}

		@Test
		void refusesPlainCallToUnknownService() {
			assertRefusedAsNotRun(post("/services/elsewhere/x", WORKSPACE_KEY, Map.of(), "{}"), 404, "unknown-service");
		}

	}

	@Nested
	class OperatorCommands {

		@Test
		void showActiveConfigurationStatusAndOrders() {
			assertThat(stack.runCli("list", "services"), containsString("\"maximumBodyBytes\":4000"));
			assertThat(stack.runCli("status"), containsString("engine-1"));
			assertThat(stack.runCli("orders"), containsString("engine-1"));
		}

		@Test
		void drainAndRestoreServer() {
			assertThat(stack.runCli("drain", "server", "engine-9"), startsWith("DONE"));
			assertThat(stack.runCli("status"), containsString("drained: SERVER engine-9"));
			assertThat(stack.runCli("restore", "server", "engine-9"), startsWith("DONE"));
		}

		@Test
		void reportActiveRevisionWhenExpectedRevisionDiffers() {
			assertThat(stack.runCli("publish", folder.toString(), "--expect", "77"),
					containsString("current revision is 1, expected 77"));
		}

	}

	@Nested
	class ControlEndpoints {

		@Test
		void returnNotFoundOnCallerAddress() {
			assertThat(post("/admin/drain", LocalStack.ADMIN_KEY, Map.of(), "{}").status(), is(404));
			assertThat(post("/peer/exchange", WORKSPACE_KEY, Map.of("X-Peer-Key", LocalStack.PEER_KEY), "{}").status(),
					is(404));
		}

		@Test
		void returnUnauthorizedWithWrongCredentials() {
			HttpClientRequest admin = HttpClientRequest.get(stack.controlAddress, "/admin/status")
				.withHeader("Authorization", "Bearer " + WORKSPACE_KEY);
			assertThat(stack.client.call(admin).join().status(), is(401));
			HttpClientRequest peer = HttpClientRequest.get(stack.controlAddress, "/peer/manifest")
				.withHeader("X-Peer-Key", "wrong");
			assertThat(stack.client.call(peer).join().status(), is(401));
		}

	}

}
