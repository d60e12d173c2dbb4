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
public final class HttpConnectionPool {

	private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int MAXIMUM_IDLE_PER_ADDRESS = 32;

	private static final OptionMap CLIENT_OPTIONS = OptionMap.create(UndertowOptions.ENABLE_HTTP2, false);

	private final UndertowClient client = UndertowClient.getInstance();

	private final ByteBufferPool bufferPool;

	private final Map<XnioIoThread, Map<String, Deque<ClientConnection>>> idleConnections = new ConcurrentHashMap<>();

	/**
	 * Creates an empty set of connections.
	 * @param bufferPool pool of buffers
	 */
	public HttpConnectionPool(ByteBufferPool bufferPool) {
		this.bufferPool = bufferPool;
	}

	ByteBufferPool bufferPool() {
		return this.bufferPool;
	}

	/**
	 * Opens a connection or takes an idle one.
	 * @param ioThread the current I/O thread
	 * @param call the call the connection is for
	 * @param callback receives the connection; a failure is an
	 * {@link HttpClientException} that proves that the call has not run
	 */
	void acquire(XnioIoThread ioThread, HttpClientRequest call, ClientCallback<ClientConnection> callback) {
		Optional<ClientConnection> kept = call.connectionReuseAllowed() ? takeIdle(ioThread, call.address())
				: Optional.empty();
		if (kept.isPresent()) {
			callback.completed(kept.get());
			return;
		}
		PendingConnection pending = new PendingConnection(callback);
		XnioIoThread.Key timeout = ioThread.executeAfter(() -> pending.fail("no connection in time"),
				CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		pending.timeoutKey = timeout;
		this.client.connect(pending, URI.create("http://" + call.address()), ioThread, this.bufferPool, CLIENT_OPTIONS);
	}

	void release(XnioIoThread ioThread, String address, ClientConnection connection) {
		Deque<ClientConnection> kept = idleConnectionsFor(ioThread, address);
		if (connection.isOpen() && kept.size() < MAXIMUM_IDLE_PER_ADDRESS) {
			kept.addFirst(connection);
			return;
		}
		IoUtils.safeClose(connection);
	}

	private Optional<ClientConnection> takeIdle(XnioIoThread ioThread, String address) {
		Deque<ClientConnection> kept = idleConnectionsFor(ioThread, address);
		kept.removeIf((connection) -> !connection.isOpen());
		return Optional.ofNullable(kept.pollFirst());
	}

	private Deque<ClientConnection> idleConnectionsFor(XnioIoThread ioThread, String address) {
		return this.idleConnections.computeIfAbsent(ioThread, (thread) -> new HashMap<>())
			.computeIfAbsent(address, (key) -> new ArrayDeque<>());
	}

	/**
	 * A connection attempt that ends once, by connection, failure or timeout.
	 */
	private static final class PendingConnection implements ClientCallback<ClientConnection> {

		private final ClientCallback<ClientConnection> callback;

		private XnioIoThread.Key timeoutKey;

		private boolean ended;

		private PendingConnection(ClientCallback<ClientConnection> callback) {
			this.callback = callback;
		}

		@Override
		public void completed(ClientConnection connection) {
			if (this.ended) {
				IoUtils.safeClose(connection);
				return;
			}
			markEnded();
			this.callback.completed(connection);
		}

		@Override
		public void failed(IOException failure) {
			fail(String.valueOf(failure.getMessage()));
		}

		private void fail(String message) {
			if (!this.ended) {
				markEnded();
				this.callback.failed(new HttpClientException(message, Verdict.NOT_RUN));
			}
		}

		private void markEnded() {
			this.ended = true;
			if (this.timeoutKey != null) {
				this.timeoutKey.remove();
			}
		}

	}

}
