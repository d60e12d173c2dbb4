package org.skylarkspring.gateway.policy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link EventSplitter}.
 */
class EventSplitterTests {

	private final EventSplitter splitter = new EventSplitter();

	private final List<String> events = new ArrayList<>();

	private final List<String> ids = new ArrayList<>();

	private boolean feed(String text) {
		return this.splitter.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), (event) -> {
			this.events.add(new String(event.bytes(), StandardCharsets.UTF_8));
			event.id().ifPresent(this.ids::add);
		});
	}

	@Nested
	class Splitting {

		@Test
		void passesWholeEventsOn() {
			feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
			assertThat(EventSplitterTests.this.events, contains("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"));
			assertThat(EventSplitterTests.this.ids, contains("1", "2"));
		}

		@Test
		void keepsTheRestOfAnEventThatBrokeOff() {
			feed("id: 1\ndata: a\n\nid: 2\nda");
			assertThat(EventSplitterTests.this.events, contains("id: 1\ndata: a\n\n"));
			assertThat(new String(EventSplitterTests.this.splitter.rest(), StandardCharsets.UTF_8), is("id: 2\nda"));
		}

		@Test
		void joinsAnEventThatComesByteByByte() {
			"id: 7\ndata: xyz\n\n".chars().forEach((character) -> feed(String.valueOf((char) character)));
			assertThat(EventSplitterTests.this.events, contains("id: 7\ndata: xyz\n\n"));
			assertThat(EventSplitterTests.this.splitter.rest().length, is(0));
		}

		@Test
		void knowsLinesThatEndWithReturn() {
			feed("id: 1\r\ndata: a\r\n\r\nid: 2\r\n");
			assertThat(EventSplitterTests.this.events, contains("id: 1\r\ndata: a\r\n\r\n"));
		}

	}

	@Nested
	class Limits {

		@Test
		void refusesAnEventWithoutEnd() {
			String part = "x".repeat(100_000);
			boolean taken = true;
			for (int count = 0; count < 20 && taken; count++) {
				taken = feed(part);
			}
			assertThat(taken, is(false));
			assertThat(EventSplitterTests.this.events, empty());
		}

	}

}
