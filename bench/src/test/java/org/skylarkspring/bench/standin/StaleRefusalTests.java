package org.skylarkspring.bench.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.skylarkspring.bench.load.StreamedResponse;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.HttpClientResponse;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests an entry instance whose servers write an earlier refusal once more on a kept
 * connection.
 */
class StaleRefusalTests {

	private static final String WORKSPACE_KEY = "plans-test-key";

	private static final int MAXIMUM_TOKENS = 8;

	/** More calls than I/O threads, each of which keeps its own connections. */
	private static final int CALLS = 8;

	@TempDir
	private Path folder;

	private final List<StaleRefusalProxy> proxies = new ArrayList<>();

	private LocalStack stack;

	@BeforeEach
	void startStack() throws IOException {
		this.stack = new LocalStack(this.folder, 5_000, this::startProxy);
	}

	@AfterEach
	void stopStack() {
		this.stack.close();
		this.proxies.forEach(StaleRefusalProxy::close);
	}

	private String startProxy(String serverAddress) {
		try {
			this.proxies.add(new StaleRefusalProxy(serverAddress));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return this.proxies.get(this.proxies.size() - 1).address();
	}

	private int forwardedCallCount() {
		return this.proxies.stream().mapToInt(StaleRefusalProxy::forwardedCallCount).sum();
	}

	private StreamedResponse requestCompletion(String prompt) {
		return this.stack.client
			.requestCompletion(this.stack.callerAddress, WORKSPACE_KEY, "inyigisho", prompt, MAXIMUM_TOKENS)
			.join();
	}

	private boolean isCompleted(String prompt) {
		return requestCompletion(prompt).check(prompt, MAXIMUM_TOKENS) == StreamedResponse.CheckResult.WHOLE;
	}

	@Test
	void refusalOfEarlierCallDoesNotDenyGeneration() {
		// Before its first load report the engine gets no requests.
		LocalStack.awaitCondition(() -> isCompleted("first prompt"));
		LocalStack.awaitCondition(() -> forwardedCallCount() >= 1);
		for (int number = 0; number < CALLS; number++) {
			String prompt = "prompt " + number;
			StreamedResponse response = requestCompletion(prompt);
			assertThat(number + ": " + response.error(), response.check(prompt, MAXIMUM_TOKENS),
					is(StreamedResponse.CheckResult.WHOLE));
		}
		LocalStack.awaitCondition(() -> forwardedCallCount() > CALLS);
		assertThat(forwardedCallCount(), is(CALLS + 1));
	}

	@Test
	void refusalOfEarlierCallIsNotResponseToNextCaller() {
		for (int number = 0; number < CALLS; number++) {
			HttpClientResponse response = this.stack.client
				.call(HttpClientRequest.get(this.stack.callerAddress, "/services/inguzanyo/bookings")
					.withHeader("Authorization", "Bearer " + WORKSPACE_KEY))
				.join();
			assertThat(number + ": " + response.body(), response.status(), is(200));
		}
		LocalStack.awaitCondition(() -> forwardedCallCount() >= CALLS);
		assertThat(forwardedCallCount(), is(CALLS));
	}

}
