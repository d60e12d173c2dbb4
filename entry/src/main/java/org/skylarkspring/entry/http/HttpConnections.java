package org.skylarkspring.entry.http;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

import org.skylarkspring.core.model.Verdict;

/**
 * Opens connections and keeps idle ones, separately for each I/O thread. Only the thread
 * itself touches its connections.
 */
public final class HttpConnections {

	private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int MAXIMUM_IDLE_PER_ADDRESS = 32;

	private static final OptionMap OPTIONS = OptionMap.create(UndertowOptions.ENABLE_HTTP2, false);

	private final UndertowClient client = UndertowClient.getInstance();

	private final ByteBufferPool buffers;

	private final Map<XnioIoThread, Map<String, Deque<ClientConnection>>> idle = new ConcurrentHashMap<>();

	/**
	 * Creates an empty set of connections.
	 * @param buffers pool of buffers
	 */
	public HttpConnections(ByteBufferPool buffers) {
		this.buffers = buffers;
	}

	ByteBufferPool buffers() {
		return this.buffers;
	}

	/**
	 * Opens a connection or takes an idle one.
	 * @param ioThread the current I/O thread
	 * @param call the call the connection is for
	 * @param callback receives the connection; a failure is an {@link HttpFailure} that
	 * proves that the call has not run
	 */
	void connect(XnioIoThread ioThread, HttpCall call, ClientCallback<ClientConnection> callback) {
		Optional<ClientConnection> kept = call.reusable() ? takeIdle(ioThread, call.address()) : Optional.empty();
		if (kept.isPresent()) {
			callback.completed(kept.get());
			return;
		}
		PendingConnect pending = new PendingConnect(callback);
		XnioIoThread.Key timeout = ioThread.executeAfter(() -> pending.fail("no connection in time"),
				CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		pending.timeout = timeout;
		this.client.connect(pending, URI.create("http://" + call.address()), ioThread, this.buffers, OPTIONS);
	}

	void release(XnioIoThread ioThread, String address, ClientConnection connection) {
		Deque<ClientConnection> kept = idleOf(ioThread, address);
		if (connection.isOpen() && kept.size() < MAXIMUM_IDLE_PER_ADDRESS) {
			kept.addFirst(connection);
			return;
		}
		IoUtils.safeClose(connection);
	}

	private Optional<ClientConnection> takeIdle(XnioIoThread ioThread, String address) {
		Deque<ClientConnection> kept = idleOf(ioThread, address);
		kept.removeIf((connection) -> !connection.isOpen());
		return Optional.ofNullable(kept.pollFirst());
	}

	private Deque<ClientConnection> idleOf(XnioIoThread ioThread, String address) {
		return this.idle.computeIfAbsent(ioThread, (thread) -> new HashMap<>())
			.computeIfAbsent(address, (key) -> new ArrayDeque<>());
	}

	/**
	 * A connection attempt that ends once, by connection, failure or timeout.
	 */
	private static final class PendingConnect implements ClientCallback<ClientConnection> {

		private final ClientCallback<ClientConnection> callback;

		private XnioIoThread.Key timeout;

		private boolean ended;

		private PendingConnect(ClientCallback<ClientConnection> callback) {
			this.callback = callback;
		}

		@Override
		public void completed(ClientConnection connection) {
			if (this.ended) {
				IoUtils.safeClose(connection);
				return;
			}
			end();
			this.callback.completed(connection);
		}

		@Override
		public void failed(IOException failure) {
			fail(String.valueOf(failure.getMessage()));
		}

		private void fail(String message) {
			if (!this.ended) {
				end();
				this.callback.failed(new HttpFailure(message, Verdict.NOT_RUN));
			}
		}

		private void end() {
			this.ended = true;
			if (this.timeout != null) {
				this.timeout.remove();
			}
		}

	}

}
