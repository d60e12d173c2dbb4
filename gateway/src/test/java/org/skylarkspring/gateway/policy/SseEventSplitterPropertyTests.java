package org.skylarkspring.gateway.policy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Compares {@link SseEventSplitter} with a splitter that looks at the whole text at once,
 * on streams with line ends in any position and cut in any way.
 */
class SseEventSplitterPropertyTests {

	@Provide
	Arbitrary<List<String>> parts() {
		return Arbitraries.of("\n", "\r\n", "\r", "id: 7", "data: x", "\n\n", "\r\n\r\n", ":", "é", " ")
			.list()
			.ofMaxSize(60);
	}

	@Property(tries = 2_000, seed = "21")
	void emitsTheEventsOfTheWholeText(@ForAll("parts") List<String> parts,
			@ForAll @IntRange(min = 1, max = 9) int cutBytes) {
		String text = String.join("", parts);
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		SseEventSplitter splitter = new SseEventSplitter();
		List<String> events = new ArrayList<>();
		for (int start = 0; start < bytes.length; start += cutBytes) {
			splitter.accept(ByteBuffer.wrap(bytes, start, Math.min(cutBytes, bytes.length - start)),
					(event) -> events.add(new String(event.bytes(), StandardCharsets.UTF_8)));
		}
		List<String> expected = new ArrayList<>();
		String rest = splitWhole(text, expected);
		assertThat(events, is(expected));
		assertThat(new String(splitter.bytesAfterLastEvent(), StandardCharsets.UTF_8), is(rest));
	}

	@Property(tries = 200, seed = "22")
	void neverHoldsMoreThanTheMaximumEvent(@ForAll @IntRange(min = 1, max = 20_000) int partBytes) {
		SseEventSplitter splitter = new SseEventSplitter();
		byte[] part = "d".repeat(partBytes).getBytes(StandardCharsets.UTF_8);
		boolean accepted = true;
		for (int count = 0; accepted && count < 100_000; count++) {
			accepted = splitter.accept(ByteBuffer.wrap(part), (event) -> {
			});
		}
		assertThat(accepted, is(false));
		assertThat(splitter.bytesAfterLastEvent().length, lessThanOrEqualTo(SseEventSplitter.MAXIMUM_EVENT_BYTES));
	}

	private static String splitWhole(String text, List<String> events) {
		String rest = text;
		int end = endOfEvent(rest);
		while (end >= 0) {
			events.add(rest.substring(0, end));
			rest = rest.substring(end);
			end = endOfEvent(rest);
		}
		return rest;
	}

	private static int endOfEvent(String text) {
		int lineFeeds = text.indexOf("\n\n");
		int crLf = text.indexOf("\n\r\n");
		int first = (lineFeeds < 0) ? -1 : lineFeeds + 2;
		int second = (crLf < 0) ? -1 : crLf + 3;
		return (first < 0 || (second >= 0 && second < first)) ? second : first;
	}

}
