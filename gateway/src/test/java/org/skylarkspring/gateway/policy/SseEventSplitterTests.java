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
 * Tests for {@link SseEventSplitter}.
 */
class SseEventSplitterTests {

	private final SseEventSplitter splitter = new SseEventSplitter();

	private final List<String> events = new ArrayList<>();

	private final List<String> ids = new ArrayList<>();

	private boolean acceptText(String text) {
		return this.splitter.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), (event) -> {
			this.events.add(new String(event.bytes(), StandardCharsets.UTF_8));
			event.id().ifPresent(this.ids::add);
		});
	}

	@Nested
	class Splitting {

		@Test
		void emitsEachCompleteEventWithItsId() {
			acceptText("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
			assertThat(SseEventSplitterTests.this.events, contains("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"));
			assertThat(SseEventSplitterTests.this.ids, contains("1", "2"));
		}

		@Test
		void keepsBytesOfIncompleteEvent() {
			acceptText("id: 1\ndata: a\n\nid: 2\nda");
			assertThat(SseEventSplitterTests.this.events, contains("id: 1\ndata: a\n\n"));
			assertThat(new String(SseEventSplitterTests.this.splitter.bytesAfterLastEvent(), StandardCharsets.UTF_8),
					is("id: 2\nda"));
		}

		@Test
		void lineBreaksAfterEventAreNotInsideNextEvent() {
			acceptText("id: 1\ndata: a\n\n\r\n");
			assertThat(SseEventSplitterTests.this.splitter.isInsideEvent(), is(false));
			acceptText("i");
			assertThat(SseEventSplitterTests.this.splitter.isInsideEvent(), is(true));
		}

		@Test
		void reassemblesEventReceivedByteByByte() {
			"id: 7\ndata: xyz\n\n".chars().forEach((character) -> acceptText(String.valueOf((char) character)));
			assertThat(SseEventSplitterTests.this.events, contains("id: 7\ndata: xyz\n\n"));
			assertThat(SseEventSplitterTests.this.splitter.bytesAfterLastEvent().length, is(0));
		}

		@Test
		void findsEventEndAcrossPartsInAnyPosition() {
			String text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
			for (int cut = 1; cut < text.length(); cut++) {
				SseEventSplitterTests.this.events.clear();
				acceptText(text.substring(0, cut));
				acceptText(text.substring(cut));
				assertThat("cut at " + cut, SseEventSplitterTests.this.events,
						contains("id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "id: 3\ndata: c\n\n"));
			}
		}

		@Test
		void splitsEventsWithCrLfLineEndings() {
			acceptText("id: 1\r\ndata: a\r\n\r\nid: 2\r\n");
			assertThat(SseEventSplitterTests.this.events, contains("id: 1\r\ndata: a\r\n\r\n"));
		}

	}

	@Nested
	class SizeLimit {

		@Test
		void rejectsEventLargerThanMaximumSize() {
			String chunk = "x".repeat(100_000);
			boolean accepted = true;
			for (int count = 0; count < 20 && accepted; count++) {
				accepted = acceptText(chunk);
			}
			assertThat(accepted, is(false));
			assertThat(SseEventSplitterTests.this.events, empty());
		}

	}

}
