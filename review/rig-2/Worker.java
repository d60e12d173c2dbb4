import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Worker of a plain service: answers each request after some time of work. */
final class Worker {

	/** A request that a worker has begun to work on. */
	record Run(String request, String path, String worker, long atMillis) {
	}

	final List<Run> runs = new CopyOnWriteArrayList<>();

	private final Journal journal;

	private final String id;

	private final String zone;

	private final String service;

	private final long born;

	private final long workMillis;

	private final ServerSocket listener;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final AtomicInteger answers = new AtomicInteger();

	/** Of so many answers one is lost after the run, 0 for none. */
	volatile int losesOneAnswerOf;

	Worker(Journal journal, String ip, String id, String service, String zone, long workMillis) throws IOException {
		this.journal = journal;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.workMillis = workMillis;
		this.born = System.currentTimeMillis();
		this.listener = new ServerSocket(0, 500, InetAddress.getByName(ip));
		Threads.start(this::accept);
	}

	String id() {
		return this.id;
	}

	/** Returns what the worker says of itself in the store. */
	String entry(String state) {
		return "{\"service\":\"" + this.service + "\",\"address\":\"" + this.listener.getInetAddress().getHostAddress()
				+ ":" + this.listener.getLocalPort() + "\",\"zone\":\"" + this.zone
				+ "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
				+ "\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":" + this.born + "}";
	}

	/** Ends the worker: it refuses connections, and those that are open are closed. */
	void exit() {
		close(this.listener);
		this.connections.forEach(Worker::close);
		this.journal.add(this.id + " has exited");
	}

	private static void close(java.io.Closeable closeable) {
		try {
			closeable.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				this.connections.add(socket);
				Threads.start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (Socket socket = connection) {
			socket.setTcpNoDelay(true);
			InputStream in = socket.getInputStream();
			OutputStream out = socket.getOutputStream();
			for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
				answer(request, out);
			}
		}
		catch (IOException ex) {
			// The gateway has closed the connection, or the worker has exited.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	private void answer(Http.Message request, OutputStream out) throws IOException {
		String requestId = request.field("request-id");
		String expected = request.field("expected-instance");
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + this.id + "\r\nRequest-Id: "
					+ requestId + "\r\nContent-Length: 0\r\n\r\n"));
			return;
		}
		this.runs.add(new Run(requestId, request.word(1), this.id, this.journal.nowMillis()));
		this.journal.add(this.id + " runs " + requestId + " " + request.firstLine());
		Threads.sleep(this.workMillis);
		int every = this.losesOneAnswerOf;
		if (every > 0 && this.answers.incrementAndGet() % every == 0) {
			this.journal.add(this.id + " has run " + requestId + ", its answer is lost");
			throw new IOException("answer lost");
		}
		String body = "done " + requestId + "\n";
		out.write(Http.bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: s." + this.id
				+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
	}

}
