package org.skylarkspring.entry.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link SseParser}.
 */
class SseParserTests {

	private final List<String> events = new ArrayList<>();

	private final SseParser parser = new SseParser(this.events::add);

	private void feed(String text) {
		this.parser.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
	}

	@Test
	void parsesEventsReceivedOneByteAtATime() {
		String stream = "id: 1\ndata: {\"text\":\"día\"}\n\n: comment\ndata: two\r\n\r\n";
		byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
		for (byte next : bytes) {
			this.parser.feed(ByteBuffer.wrap(new byte[] { next }));
		}
		assertThat(this.events, contains("{\"text\":\"día\"}", "two"));
	}

	@Test
	void emitsNoEventBeforeTerminatingBlankLine() {
		feed("data: one\n");
		assertThat(this.events.isEmpty(), is(true));
	}

	@Test
	void rejectsLineLongerThanMaximum() {
		String chunk = "x".repeat(64 * 1024);
		int acceptedChunks = 0;
		try {
			while (acceptedChunks < 8) {
				feed(chunk);
				acceptedChunks++;
			}
		}
		catch (IllegalStateException ex) {
			assertThat(acceptedChunks, is(4));
			return;
		}
		throw new AssertionError("a line longer than the maximum was accepted");
	}

}
