package org.skylarkspring.bench.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Proxy in front of a server that writes an earlier refusal once more on a kept
 * connection, at the point where the response to the next request is expected. The server
 * executes that request all the same. Polls of the server's load are left alone.
 */
final class StaleRefusalProxy implements AutoCloseable {

	private static final String STALE_REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nstale";

	private static final String HEAD_TERMINATOR = "\r\n\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final String CONTENT_LENGTH_PREFIX = "content-length:";

	private static final int BUFFER_BYTES = 4_096;

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

	private final String serverAddress;

	private final AtomicInteger forwardedCalls = new AtomicInteger();

	StaleRefusalProxy(String serverAddress) throws IOException {
		this.serverAddress = serverAddress;
		startDaemon(this::acceptConnections);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/**
	 * Returns the number of calls that the server has received.
	 * @return number of calls other than polls of its load
	 */
	int forwardedCallCount() {
		return this.forwardedCalls.get();
	}

	@Override
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

	private void acceptConnections() {
		while (!this.listener.isClosed()) {
			try {
				Socket connection = this.listener.accept();
				startDaemon(() -> serve(connection));
			}
			catch (IOException ex) {
				// The listener was closed; the loop condition ends the loop.
				continue;
			}
		}
	}

	private void serve(Socket accepted) {
		try (Socket connection = accepted) {
			String request = readMessage(connection.getInputStream());
			boolean kept = false;
			while (!request.isEmpty()) {
				boolean call = !request.contains(" /load");
				if (call && kept) {
					connection.getOutputStream().write(STALE_REFUSAL.getBytes(StandardCharsets.ISO_8859_1));
				}
				forward(request, connection);
				if (call) {
					this.forwardedCalls.incrementAndGet();
				}
				kept = true;
				request = readMessage(connection.getInputStream());
			}
		}
		catch (IOException ex) {
			// The entry instance closed the connection.
			return;
		}
	}

	private void forward(String request, Socket client) throws IOException {
		int port = Integer.parseInt(this.serverAddress.substring(this.serverAddress.indexOf(':') + 1));
		try (Socket server = new Socket("127.0.0.1", port)) {
			server.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			String response = readMessage(server.getInputStream());
			client.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
		}
	}

	private static String readMessage(InputStream in) throws IOException {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		while (!isComplete(received.toString(StandardCharsets.ISO_8859_1))) {
			int count = in.read(buffer);
			if (count < 0) {
				return "";
			}
			received.write(buffer, 0, count);
		}
		return received.toString(StandardCharsets.ISO_8859_1);
	}

	private static boolean isComplete(String message) {
		int headEnd = message.indexOf(HEAD_TERMINATOR);
		if (headEnd < 0) {
			return false;
		}
		String head = message.substring(0, headEnd).toLowerCase(Locale.ROOT);
		if (head.contains("transfer-encoding: chunked")) {
			return message.endsWith(LAST_CHUNK);
		}
		return message.length() - headEnd - HEAD_TERMINATOR.length() >= contentLength(head);
	}

	private static int contentLength(String lowercaseHead) {
		return lowercaseHead.lines()
			.filter((line) -> line.startsWith(CONTENT_LENGTH_PREFIX))
			.mapToInt((line) -> Integer.parseInt(line.substring(CONTENT_LENGTH_PREFIX.length()).trim()))
			.findFirst()
			.orElse(0);
	}

	private static void startDaemon(Runnable task) {
		Thread thread = new Thread(task, "stale-refusal-proxy");
		thread.setDaemon(true);
		thread.start();
	}

}
