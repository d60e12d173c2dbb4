package org.skylarkspring.bench.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.skylarkspring.bench.load.StreamedResponse;
import org.skylarkspring.entry.http.HttpClientRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of token streams whose connection to the engine breaks while the response is
 * being sent.
 */
class StreamFaultTests {

	private static final String WORKSPACE_KEY = "plans-test-key";

	private static final int MAXIMUM_TOKENS = 400;

	@TempDir
	private Path folder;

	private LocalStack stack;

	@BeforeEach
	void startStack() throws IOException {
		this.stack = new LocalStack(this.folder, 5_000);
	}

	@AfterEach
	void stopStack() {
		this.stack.close();
	}

	private static String findPromptWithLongCompletion() {
		int number = 0;
		while (DeterministicCompletion.tokenCount("prompt " + number, MAXIMUM_TOKENS) < 150) {
			number++;
		}
		return "prompt " + number;
	}

	private CompletableFuture<StreamedResponse> requestCompletion(String prompt) {
		return this.stack.client.requestCompletion(this.stack.callerAddress, WORKSPACE_KEY, "inyigisho", prompt,
				MAXIMUM_TOKENS);
	}

	private void disconnectEngineStreams() {
		this.stack.client.call(HttpClientRequest.post(this.stack.engineAddress, "/fault?mode=cut", "")).join();
	}

	private void awaitRunningGeneration() {
		LocalStack.awaitCondition(() -> this.stack.client.call(HttpClientRequest.get(this.stack.engineAddress, "/load"))
			.join()
			.body()
			.contains("\"running\":1"));
	}

	@Nested
	class SingleDisconnect {

		@Test
		void completesStreamAfterEngineDisconnect() {
			String prompt = findPromptWithLongCompletion();
			CompletableFuture<StreamedResponse> response = requestCompletion(prompt);
			awaitRunningGeneration();
			disconnectEngineStreams();
			assertThat(response.join().error(), response.join().check(prompt, MAXIMUM_TOKENS),
					is(StreamedResponse.CheckResult.WHOLE));
		}

	}

	@Nested
	class RepeatedDisconnects {

		@Test
		void endsWithDeliveredTokenCountAfterRepeatedEngineDisconnects() {
			String prompt = findPromptWithLongCompletion();
			CompletableFuture<StreamedResponse> response = requestCompletion(prompt);
			awaitRunningGeneration();
			LocalStack.awaitCondition(() -> {
				disconnectEngineStreams();
				return response.isDone();
			});
			assertThat(response.join().check(prompt, MAXIMUM_TOKENS), is(StreamedResponse.CheckResult.REFUSED));
			assertThat(response.join().error(), containsString("\"verdict\":\"may-have-run\""));
			assertThat(response.join().tokens().size(), greaterThan(0));
			assertThat(response.join().error(),
					containsString("\"delivered_tokens\":" + response.join().tokens().size()));
		}

	}

}
