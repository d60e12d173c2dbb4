package org.skylarkspring.bench.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.skylarkspring.bench.load.StreamedAnswer;
import org.skylarkspring.entry.http.HttpClientRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Streams whose engine connection breaks.
 */
class StreamFaultTests {

	private static final String KEY = "plans-test-key";

	private static final int MAXIMUM_TOKENS = 400;

	@TempDir
	private Path folder;

	private LocalStack stack;

	@BeforeEach
	void start() throws IOException {
		this.stack = new LocalStack(this.folder, 5_000);
	}

	@AfterEach
	void stop() {
		this.stack.close();
	}

	private static String longPrompt() {
		int number = 0;
		while (StandInText.tokens("prompt " + number, MAXIMUM_TOKENS) < 150) {
			number++;
		}
		return "prompt " + number;
	}

	private CompletableFuture<StreamedAnswer> complete(String prompt) {
		return this.stack.client.complete(this.stack.caller, KEY, "inyigisho", prompt, MAXIMUM_TOKENS);
	}

	private void cut() {
		this.stack.client.call(HttpClientRequest.post(this.stack.engine, "/fault?mode=cut", "")).join();
	}

	private void awaitRunning() {
		LocalStack.await(() -> this.stack.client.call(HttpClientRequest.get(this.stack.engine, "/load"))
			.join()
			.body()
			.contains("\"running\":1"));
	}

	@Nested
	class OneCut {

		@Test
		void isResumedAtTheSameGeneration() {
			String prompt = longPrompt();
			CompletableFuture<StreamedAnswer> answer = complete(prompt);
			awaitRunning();
			cut();
			assertThat(answer.join().error(), answer.join().check(prompt, MAXIMUM_TOKENS),
					is(StreamedAnswer.Check.WHOLE));
		}

	}

	@Nested
	class RepeatedCuts {

		@Test
		void endAtOnceAndSayWhatWasDelivered() {
			String prompt = longPrompt();
			CompletableFuture<StreamedAnswer> answer = complete(prompt);
			awaitRunning();
			LocalStack.await(() -> {
				cut();
				return answer.isDone();
			});
			assertThat(answer.join().check(prompt, MAXIMUM_TOKENS), is(StreamedAnswer.Check.REFUSED));
			assertThat(answer.join().error(), containsString("\"verdict\":\"may-have-run\""));
			assertThat(answer.join().tokens().size(), greaterThan(0));
			assertThat(answer.join().error(), containsString("\"delivered_tokens\":" + answer.join().tokens().size()));
		}

	}

}
