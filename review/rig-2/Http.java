import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Messages of HTTP/1.1, as far as the stand-ins need them. */
final class Http {

	private Http() {
	}

	/** Head and body of a message; names of fields are in lower case. */
	record Message(String firstLine, Map<String, String> fields, byte[] body) {

		String field(String name) {
			return this.fields.getOrDefault(name, "");
		}

		String word(int index) {
			return this.firstLine.split(" ")[index];
		}

		int status() {
			return Integer.parseInt(word(1));
		}

	}

	/** Reads a message, {@code null} if the connection ends before its first byte. */
	static Message read(InputStream in) throws IOException {
		Message head = readHead(in);
		return (head == null) ? null : new Message(head.firstLine(), head.fields(), readBody(in, head));
	}

	static Message readHead(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null) {
			return null;
		}
		Map<String, String> fields = new LinkedHashMap<>();
		for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
			if (line == null) {
				throw new EOFException("end inside a head");
			}
			int colon = line.indexOf(':');
			fields.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return new Message(first, fields, new byte[0]);
	}

	static byte[] readBody(InputStream in, Message head) throws IOException {
		if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				String size = readLine(in);
				if (size == null) {
					throw new EOFException("end inside a chunked body");
				}
				int count = Integer.parseInt(size.trim(), 16);
				body.write(readExactly(in, count));
				readLine(in);
				if (count == 0) {
					return body.toByteArray();
				}
			}
		}
		String length = head.field("content-length");
		return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
	}

	static byte[] readExactly(InputStream in, int count) throws IOException {
		byte[] bytes = in.readNBytes(count);
		if (bytes.length < count) {
			throw new EOFException("end inside a body");
		}
		return bytes;
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException("end inside a line");
			}
			line.write(next);
			next = in.read();
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
