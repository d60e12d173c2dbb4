package org.skylarkspring.gateway.policy;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link SseEvent}.
 */
class SseEventTests {

	private static SseEvent event(String text) {
		return new SseEvent(text.getBytes(StandardCharsets.UTF_8), Optional.empty());
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: 1\ndata: a\n\n", "id:1\r\ndata:a\r\n\r\n", ": comment of any text\n\n",
			"weight-versions: 3\nid: 2\ndata: HTTP/1.1 503 Busy\n\n", "data\ndata: é\nretry: 5\nevent: x\n\n",
			"\n\nid: 3\ndata: {\"Key\": 1}\n\n" })
	void acceptsFieldsAndComments(String text) {
		assertThat(event(text).hasOnlyFields(), is(true));
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 503 Busy\r\nRequest-Id: a\r\n\r\n",
			"id: 3\ndata: tokHTTP/1.1 503\r\nDate: x\r\n\r\n", "{\"error\":\"overloaded\"}\n\n", "server is busy\n\n",
			"id: 1\nDATA: a\n\n", "2a\r\nid: 3\ndata: a\n\n", "\r\n8\r\nid: 3\ndata: a\n\n" })
	void rejectsLinesOfHeadsAndBodies(String text) {
		assertThat(event(text).hasOnlyFields(), is(false));
	}

}
