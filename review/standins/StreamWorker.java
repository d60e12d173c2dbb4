import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Stand-in of a model worker that runs as a process of its own. Its streams have neither a length nor chunks and end with
 * their channel. It prints its port and one line for each request that it begins to run.
 */
final class StreamWorker {

	static final int EVENTS = 100;

	private static final long EVENT_MILLIS = 28;

	private StreamWorker() {
	}

	public static void main(String[] arguments) throws IOException {
		ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		System.out.println(listener.getLocalPort());
		while (true) {
			Socket socket = listener.accept();
			Threads.start("channel", () -> serve(arguments[0], socket));
		}
	}

	private static void serve(String id, Socket socket) throws IOException {
		try (socket) {
			InputStream in = socket.getInputStream();
			OutputStream out = socket.getOutputStream();
			Worker.Request request = Worker.Request.read(in);
			if (request == null) {
				return;
			}
			if (!request.line.startsWith("POST /plan/") || !id.equals(request.headers.get("expected-instance"))) {
				String status = request.line.startsWith("POST /plan/") ? "421 Misdirected Request" : "404 Not Found";
				out.write(("HTTP/1.1 " + status + "\r\nRequest-Id: " + request.id()
						+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				return;
			}
			System.out.println(request.id());
			out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\nResponse-Signature: sig-" + request.id()
					+ "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int event = 1; event <= EVENTS; event++) {
				Threads.sleep(EVENT_MILLIS);
				out.write(event(event));
				out.flush();
			}
		}
	}

	static byte[] event(int number) {
		return ("id: " + number + "\ndata: " + "word ".repeat(56) + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
	}

	static long streamBytes() {
		long bytes = 0;
		for (int event = 1; event <= EVENTS; event++) {
			bytes += event(event).length;
		}
		return bytes;
	}

}
