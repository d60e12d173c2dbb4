package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ResponseChunkCheck}.
 */
class ResponseChunkCheckTests {

	private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n";

	private static ResponseChunkCheck receive(String text, int packetBytes) {
		HeadSyntaxCheck head = new HeadSyntaxCheck();
		ResponseChunkCheck check = new ResponseChunkCheck();
		byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
		for (int start = 0; start < bytes.length; start += packetBytes) {
			ByteBuffer packet = ByteBuffer.wrap(bytes, start, Math.min(packetBytes, bytes.length - start));
			head.receive(packet);
			if (head.isBodyChunked()) {
				check.receive(packet);
			}
		}
		return check;
	}

	private static String describeFault(ResponseChunkCheck check) {
		try {
			check.requireValid();
			return "";
		}
		catch (IOException ex) {
			return ex.getMessage();
		}
	}

	private static boolean isWithinLimit(ResponseChunkCheck check) {
		try {
			check.requireWithinLimit();
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "5\r\nhello\r\n0\r\n\r\n", "05 ; name=\"x y\"\r\nhello\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\n",
					"0\r\n\r\nHTTP/1.1 503 Busy\r\n\r\n", "5\nhello\n0\n\n", "" })
	void acceptsChunksAndAnythingAfterTheLastOne(String body) throws IOException {
		for (int packetBytes = 1; packetBytes < 100; packetBytes++) {
			receive(CHUNKED_HEAD + body, packetBytes).requireValid();
			receive("HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED_HEAD + body, packetBytes).requireValid();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz", "HTTP/1.1 200 OK\r\n\r\nxyz\r\n" })
	void acceptsAnyBodyWithoutChunks(String response) throws IOException {
		receive(response, 7).requireValid();
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 503 Busy\r\n\r\n", "5\r\nhello\r\nHTTP/1.1 503 Busy\r\n\r\n",
			"5\r\nhelloworld\r\n0\r\n\r\n", "\r\n0\r\n\r\n", "5x\r\nhello\r\n0\r\n\r\n", " 5\r\nhello\r\n",
			"fffffffffffffffff\r\nx", "H", "0\r\njunk\r\n\r\n", "0\r\na b: c\r\n\r\n",
			"0\r\nT: v\r\na\u0001: c\r\n\r\n" })
	void reportsWhateverIsNoChunk(String body) {
		for (int packetBytes = 1; packetBytes < 100; packetBytes++) {
			ResponseChunkCheck check = receive(CHUNKED_HEAD + body, packetBytes);
			assertThat(describeFault(check), containsString("chunk"));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "5;x=", "5\r\nhello\r\n0\r\n", "5\r\nhello\r\n0\r\nX: ", "5\r\nhelloworld", "5x" })
	void limitsBytesThatBelongToNoChunk(String body) {
		String extra = "X: y\r\n".repeat(ResponseChunkCheck.MAXIMUM_BYTES_BESIDES_CHUNKS / 6 - 10);
		assertThat(isWithinLimit(receive(CHUNKED_HEAD + body + extra, 1_000)), is(true));
		ResponseChunkCheck check = receive(CHUNKED_HEAD + body + extra + "z".repeat(100), 1_000);
		assertThat(isWithinLimit(check), is(false));
	}

	@Test
	void doesNotLimitChunksAndWhatFollowsTheResponse() {
		String body = "1\r\nb\r\n".repeat(10_000) + "4e20\r\n" + "x".repeat(20_000) + "\r\n0\r\n\r\n";
		assertThat(isWithinLimit(receive(CHUNKED_HEAD + body + "z".repeat(20_000), 1_000)), is(true));
	}

}
