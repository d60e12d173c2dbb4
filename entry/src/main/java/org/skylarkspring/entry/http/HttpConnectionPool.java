package org.skylarkspring.entry.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.gateway.http.HttpConnector;
import org.skylarkspring.gateway.http.KeptConnection;

/**
 * Opens HTTP connections and pools idle ones for reuse, separately for each I/O thread.
 * The connections of an I/O thread are accessed only by that thread.
 */
public final class HttpConnectionPool {

	private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int MAXIMUM_IDLE_PER_ADDRESS = 32;

	private final ByteBufferPool bufferPool;

	private final Map<XnioIoThread, HttpConnector> connectors = new ConcurrentHashMap<>();

	private final Map<XnioIoThread, Map<String, Deque<KeptConnection>>> idleConnections = new ConcurrentHashMap<>();

	/**
	 * Creates an empty pool.
	 * @param bufferPool pool of I/O buffers
	 */
	public HttpConnectionPool(ByteBufferPool bufferPool) {
		this.bufferPool = bufferPool;
	}

	ByteBufferPool bufferPool() {
		return this.bufferPool;
	}

	/**
	 * Acquires a connection by reusing an idle one or opening a new one.
	 * @param ioThread the current I/O thread
	 * @param request the request to send on the connection
	 * @param callback receives the connection, or an {@link HttpClientException} with the
	 * verdict {@link Verdict#NOT_RUN}, because a request that was never sent has not run
	 */
	void acquire(XnioIoThread ioThread, HttpClientRequest request, ClientCallback<KeptConnection> callback) {
		Optional<KeptConnection> idleConnection = request.connectionReuseAllowed()
				? takeIdle(ioThread, request.address()) : Optional.empty();
		if (idleConnection.isPresent()) {
			callback.completed(idleConnection.get());
			return;
		}
		PendingConnection pending = new PendingConnection(callback);
		XnioIoThread.Key timeout = ioThread.executeAfter(
				() -> pending.fail("connection not established within " + CONNECT_TIMEOUT_MILLIS + " ms"),
				CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		pending.timeoutKey = timeout;
		this.connectors.computeIfAbsent(ioThread, (thread) -> new HttpConnector(thread, this.bufferPool))
			.connect(request.address(), pending);
	}

	void release(XnioIoThread ioThread, String address, KeptConnection connection) {
		Deque<KeptConnection> idle = idleConnectionsFor(ioThread, address);
		if (connection.isOpen() && idle.size() < MAXIMUM_IDLE_PER_ADDRESS) {
			idle.addFirst(connection);
			return;
		}
		IoUtils.safeClose(connection);
	}

	private Optional<KeptConnection> takeIdle(XnioIoThread ioThread, String address) {
		Deque<KeptConnection> idle = idleConnectionsFor(ioThread, address);
		idle.removeIf((connection) -> !connection.isOpen());
		return Optional.ofNullable(idle.pollFirst());
	}

	private Deque<KeptConnection> idleConnectionsFor(XnioIoThread ioThread, String address) {
		return this.idleConnections.computeIfAbsent(ioThread, (thread) -> new HashMap<>())
			.computeIfAbsent(address, (key) -> new ArrayDeque<>());
	}

	/**
	 * A connection attempt that completes exactly once: with a connection, a failure or a
	 * timeout. A connection that is established after the timeout is closed.
	 */
	private static final class PendingConnection implements ClientCallback<KeptConnection> {

		private final ClientCallback<KeptConnection> callback;

		private XnioIoThread.Key timeoutKey;

		private boolean ended;

		private PendingConnection(ClientCallback<KeptConnection> callback) {
			this.callback = callback;
		}

		@Override
		public void completed(KeptConnection connection) {
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
