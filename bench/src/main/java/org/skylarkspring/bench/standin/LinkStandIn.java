package org.skylarkspring.bench.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Stand-in for a network link: forwards loopback connections from one port to another.
 * Suspending the process ({@code SIGSTOP}) stalls the link, killing it breaks all
 * connections.
 */
public final class LinkStandIn {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int BACKLOG = 128;

	private final int targetPort;

	private LinkStandIn(int targetPort) {
		this.targetPort = targetPort;
	}

	/**
	 * Accepts and forwards connections until the process ends.
	 * @param port port to listen on
	 * @param targetPort port to forward to
	 * @throws IOException if the port cannot be bound
	 */
	public static void run(int port, int targetPort) throws IOException {
		LinkStandIn link = new LinkStandIn(targetPort);
		try (ServerSocket server = new ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"))) {
			while (true) {
				link.forward(server.accept());
			}
		}
	}

	// If the target does not accept the connection, the client's connection is closed, so
	// that the client sees a failure as it would without the link.
	private void forward(Socket clientSocket) throws IOException {
		try {
			Socket targetSocket = new Socket("127.0.0.1", this.targetPort);
			startThread(() -> copy(clientSocket, targetSocket));
			startThread(() -> copy(targetSocket, clientSocket));
		}
		catch (IOException ex) {
			clientSocket.close();
		}
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "link");
		thread.setDaemon(true);
		thread.start();
	}

	private static void copy(Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (from; to) {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			int count = input.read(buffer);
			while (count >= 0) {
				output.write(buffer, 0, count);
				output.flush();
				count = input.read(buffer);
			}
		}
		catch (IOException ex) {
			// One side closed its connection; both sockets are closed at this point.
		}
	}

}
