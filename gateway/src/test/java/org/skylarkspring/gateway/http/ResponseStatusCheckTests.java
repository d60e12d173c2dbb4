package org.skylarkspring.gateway.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests {@link ResponseStatusCheck} in packets of any size, because a status may be split
 * between two of them.
 */
class ResponseStatusCheckTests {

	private static Optional<String> check(String text, int packetBytes) {
		ResponseStatusCheck check = new ResponseStatusCheck();
		byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
		for (int start = 0; start < bytes.length; start += packetBytes) {
			check.receive(ByteBuffer.wrap(bytes, start, Math.min(packetBytes, bytes.length - start)));
		}
		return check.fault();
	}

	private static void assertFault(String text, Optional<String> expected) {
		for (int packetBytes = 1; packetBytes <= text.length(); packetBytes++) {
			assertThat(text + " in packets of " + packetBytes, check(text, packetBytes), is(expected));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "0", "99", "600", "999", "20", "2x0", "-1", "+200", "0200", "200.0", "2000",
			"4294967496", "x" })
	void statusOutsideTheRangeIsFault(String status) {
		Optional<String> fault = Optional.of("invalid status \"" + status + "\"");
		assertFault("HTTP/1.1 " + status + " ", fault);
		assertFault("HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n", fault);
		assertFault("\r\nHTTP/1.1 " + status + "\r\n\r\n", fault);
		assertFault("HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 " + status + " Odd\r\n", fault);
	}

	@ParameterizedTest
	@ValueSource(strings = { "100", "103", "200", "299", "304", "421", "599" })
	void otherStatusIsNone(String status) {
		assertFault("HTTP/1.1 " + status + " OK\r\nA: b\r\n\r\n", Optional.empty());
		assertFault("HTTP/1.1 " + status, Optional.empty());
		assertFault("HTTP/1.1 " + status + "\r\n\r\n", Optional.empty());
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 999 Odd\r\n", "x\r\n\r\nHTTP/1.1 000 Odd\r\n", "data: HTTP/1.1 0 \n\n" })
	void bodyIsNotChecked(String body) {
		assertFault("HTTP/1.1 200 OK\r\nStatus: HTTP/1.1 0 \r\n\r\n" + body, Optional.empty());
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "\r\n", "garbage of another protocol\r\n" })
	void linesWithoutStatusAreLeftToTheClient(String text) {
		assertFault(text, Optional.empty());
	}

}
