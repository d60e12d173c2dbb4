package org.skylarkspring.gateway.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests {@link HeadSyntaxCheck} in packets of any size, because a status or line may be
 * split between two of them.
 */
class HeadSyntaxCheckTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nA: b\r\n";

	private static Optional<String> check(String text, int packetBytes) {
		return receive(text, packetBytes).fault();
	}

	private static HeadSyntaxCheck receive(String text, int packetBytes) {
		HeadSyntaxCheck check = new HeadSyntaxCheck();
		byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
		for (int start = 0; start < bytes.length; start += packetBytes) {
			check.receive(ByteBuffer.wrap(bytes, start, Math.min(packetBytes, bytes.length - start)));
		}
		return check;
	}

	private static void assertFault(String text, Optional<String> expected) {
		for (int packetBytes = 1; packetBytes <= text.length(); packetBytes++) {
			assertThat(text + " in packets of " + packetBytes, check(text, packetBytes), is(expected));
		}
	}

	@Nested
	class Statuses {

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

		@ParameterizedTest
		@ValueSource(strings = { "HTTP/2.0", "HTTP/0.9", "HTTP/9.9", "HTTP/1.", "HTTP/1.1.1", "HTTP/" })
		void otherVersionIsFault(String version) {
			assertFault(version + " 200 OK\r\nContent-Length: 0\r\n\r\n",
					Optional.of("unsupported version \"" + version + "\""));
		}

		@Test
		void statusBehindManyBlanksIsCheckedAtTheEndOfItsLine() {
			assertThat(check("HTTP/1.1 " + " ".repeat(200) + "999 Odd\r\n", 50),
					is(Optional.of("invalid status \"999\"")));
		}

	}

	@Nested
	class Lengths {

		@ParameterizedTest
		@ValueSource(strings = { "", "x", "-1", "-8", "+4", "0x8", "4.0", "4e0", "4 4", "4x", "4;", "4,8", "8, 8", ",8",
				"\"8\"", "9999999999999999999", "\u00b2" })
		void contentLengthThatIsNoNumberIsFault(String value) {
			assertFault(HEAD + "Content-Length: " + value + "\r\n\r\n",
					Optional.of("invalid \"content-length: " + value + "\""));
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "identity", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
				"chunked,", "xchunked", "chunked x", "chunked;q=1" })
		void transferEncodingOtherThanChunkedIsFault(String value) {
			assertFault(HEAD + "Transfer-Encoding:" + value + " \r\n\r\n",
					Optional.of("invalid \"transfer-encoding: " + value + "\""));
		}

		@ParameterizedTest
		@CsvSource({ "content-length: 4, content-length: 8", "content-length: 8, content-length: 8",
				"content-length: 8, transfer-encoding: chunked", "transfer-encoding: chunked, content-length: 0",
				"transfer-encoding: chunked, transfer-encoding: Chunked", "content-length: 8, content-length: x" })
		void secondStatementIsFault(String first, String second) {
			assertFault(HEAD + first + "\r\nX: y\r\n" + second + "\r\n\r\n",
					Optional.of("both \"" + first + "\" and \"" + second + "\""));
		}

		@Test
		void chunksAreUnknownToTheFirstVersion() {
			assertFault(HEAD.replace("1.1", "1.0") + "Transfer-Encoding: chunked\r\n\r\n",
					Optional.of("transfer encoding in a response of version HTTP/1.0"));
		}

		@ParameterizedTest
		@ValueSource(strings = { "Content-Length: 5", "Transfer-Encoding: chunked" })
		void statusWithoutContentHasNoBody(String line) {
			assertFault("HTTP/1.1 204 No Content\r\n" + line + "\r\n\r\n",
					Optional.of("body announced beside the status 204"));
		}

		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
				"HTTP/1.1 200 OK\r\ncontent-LENGTH:005 \t\r\n\r\n", "HTTP/1.1 204 None\r\nContent-Length: 00\r\n\r\n",
				"HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\n",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding:\tCHUNKED\r\n\r\n",
				"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" })
		void oneStatementAtMostIsNoFault(String head) {
			assertFault(head, Optional.empty());
		}

		@Test
		void chunksAreKnownFromTheHeadOfTheResponse() {
			String chunked = HEAD + "X: y\r\nTransfer-Encoding: Chunked\r\n";
			assertThat(receive(chunked, 1).isBodyChunked(), is(false));
			assertThat(receive(chunked + "\r\n", 1).isBodyChunked(), is(true));
			assertThat(receive("HTTP/1.1 100 Continue\r\n\r\n" + chunked + "\r\n", 1).isBodyChunked(), is(true));
			assertThat(receive(HEAD + "Content-Length: 5\r\n\r\n", 1).isBodyChunked(), is(false));
		}

	}

	@Nested
	class Fields {

		@ParameterizedTest
		@ValueSource(strings = { "junk", "no field", "Content-Length", "Content-Length 4", "Content-Length=4", ": 4",
				"Content-Length : 4", "Content-Length\t: 4", " Content-Length: 4", "\tContent-Length: 4", " ",
				"Content Length: 4", "Content\u0000-Length: 4", "Content-Len\u007fgth: 4", "Content-Length\u000b: 4",
				"\u0001: y", "\u0085: y", "\u00ff: y", "(x): y", "a@b: y", "x/y: z", "HTTP/1.1 200 OK", "X: a\u0000b",
				"X: a\u0001b", "X: a\u007fb", "X: a\rb", "X: a\r", "Transfer-Encoding: \u000bchunked" })
		void lineThatIsNoFieldIsFault(String line) {
			Optional<String> fault = Optional.of("line \"" + line.strip() + "\" of the head is no field");
			assertFault("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 8\r\n\r\n", fault);
			assertFault(HEAD + "Content-Length: 8\r\n" + line + "\r\n\r\n", fault);
			assertFault("HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" + HEAD + "\r\n", fault);
		}

		@ParameterizedTest
		@ValueSource(strings = { "X: y\n", "X: y\n\r\n", "\n", "\r\r\n" })
		void lineThatDoesNotEndInCarriageReturnAndLineFeedIsFault(String lines) {
			assertThat(check(HEAD + lines + "\r\n\r\n", 1).isPresent(), is(true));
		}

		@ParameterizedTest
		@ValueSource(strings = { "X:", "X: ", "X:\t y\tz ", "!#$%&'*+-.^_`|~0aZ: y", "X: \u0080\u00e9\u00ff", "X: :y:",
				"X: \"(;,)\\<>@[]{}\"" })
		void otherLineIsNone(String line) {
			assertFault("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n", Optional.empty());
		}

		@Test
		void descriptionOfFaultContainsTheBeginningOfItsLine() {
			assertThat(check(HEAD + "x".repeat(1_000) + "\r\n", 50),
					is(Optional.of("line \"" + "x".repeat(100) + "\" of the head is no field")));
		}

	}

}
