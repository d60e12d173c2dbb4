import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Requester that sends one request after the other on a channel that it keeps. */
final class Caller {

	/** A request as its requester has seen it. */
	record Sent(String request, String gateway, long atMillis) {
	}

	static final Map<String, Sent> SENT = new ConcurrentHashMap<>();

	/** Statuses by request, 0 for a channel that ended without an answer. */
	static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();

	private static final AtomicInteger NUMBERS = new AtomicInteger();

	private final Journal journal;

	private final Gateway gateway;

	private final String key;

	private Socket socket;

	Caller(Journal journal, Gateway gateway, String key) {
		this.journal = journal;
		this.gateway = gateway;
		this.key = key;
	}

	/**
	 * Sends a request and waits for its answer.
	 * @return the status, 0 if the channel ended or the time limit passed
	 */
	int send(String method, String path, int deadlineMillis) {
		String id = String.format("%016x", 0x5a00000000000000L + NUMBERS.incrementAndGet());
		String body = method.equals("POST") ? "order " + id : "";
		String text = method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
				+ "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + this.key
				+ (body.isEmpty() ? "" : "\r\nContent-Length: " + body.length()) + "\r\n\r\n" + body;
		int status = 0;
		try {
			if (this.socket == null) {
				this.socket = new Socket();
				this.socket.connect(new InetSocketAddress(this.gateway.ip(), this.gateway.callers()), 1_000);
				this.socket.setTcpNoDelay(true);
			}
			this.socket.setSoTimeout(deadlineMillis);
			SENT.put(id, new Sent(id, this.gateway.name(), this.journal.nowMillis()));
			this.journal.add("sent " + id + " " + method + " " + path + " to " + this.gateway.name());
			this.socket.getOutputStream().write(Http.bytes(text));
			InputStream in = this.socket.getInputStream();
			Http.Message answer = Http.read(in);
			status = (answer == null) ? 0 : answer.status();
			if (answer == null || answer.field("connection").equalsIgnoreCase("close")) {
				close();
			}
		}
		catch (IOException ex) {
			close();
		}
		ANSWERS.put(id, status);
		this.journal.add("answer to " + id + ": " + ((status == 0) ? "none" : status));
		return status;
	}

	void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// Closed already.
		}
		this.socket = null;
	}

}
