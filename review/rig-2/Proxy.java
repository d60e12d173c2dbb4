import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Proxy of connections. The open ones can be made silent for good, while new ones work. */
final class Proxy {

	private final ServerSocket listener;

	private final String ip;

	private final int port;

	private final List<Link> links = new CopyOnWriteArrayList<>();

	Proxy(String ip, String target) throws IOException {
		this.listener = new ServerSocket(0, 500, InetAddress.getByName(ip));
		this.ip = target.split(":")[0];
		this.port = Integer.parseInt(target.split(":")[1]);
		Threads.start(this::accept);
	}

	String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	/**
	 * Makes all open connections silent: nothing passes any more, in either direction, and they
	 * are neither closed nor reset.
	 * @return how many they were
	 */
	int silenceOpenConnections() {
		int count = 0;
		for (Link link : this.links) {
			count += link.closed ? 0 : 1;
			link.silent = true;
		}
		return count;
	}

	private void accept() {
		while (true) {
			try {
				Socket near = this.listener.accept();
				Socket far = new Socket(this.ip, this.port);
				near.setTcpNoDelay(true);
				far.setTcpNoDelay(true);
				Link link = new Link();
				this.links.removeIf((old) -> old.closed && !old.silent);
				this.links.add(link);
				Threads.start(() -> link.copy(near, far));
				Threads.start(() -> link.copy(far, near));
			}
			catch (IOException ex) {
				if (this.listener.isClosed()) {
					return;
				}
			}
		}
	}

	private static final class Link {

		private volatile boolean silent;

		private volatile boolean closed;

		private void copy(Socket from, Socket to) {
			byte[] buffer = new byte[16_384];
			try {
				InputStream in = from.getInputStream();
				OutputStream out = to.getOutputStream();
				for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
					if (!this.silent) {
						out.write(buffer, 0, count);
					}
				}
			}
			catch (IOException ex) {
				// Closed by one side, like an end.
			}
			if (!this.silent) {
				this.closed = true;
				close(from);
				close(to);
			}
		}

		private static void close(Socket socket) {
			try {
				socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
		}

	}

}
