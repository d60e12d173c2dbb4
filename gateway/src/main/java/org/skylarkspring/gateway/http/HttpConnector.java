package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.net.URI;
import java.util.concurrent.TimeUnit;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;

/**
 * Opens client connections on one I/O thread. <pre class="code">
 * HttpConnector connector = new HttpConnector(ioThread, bufferPool);
 * HttpTextClient client = new HttpTextClient(connector);
 * </pre>
 */
public final class HttpConnector {

	private static final OptionMap CONNECTION_OPTIONS = OptionMap.builder()
		.set(UndertowOptions.ENABLE_HTTP2, false)
		.set(Options.TCP_NODELAY, true)
		.getMap();

	private final XnioIoThread ioThread;

	private final CheckingConnector checkingConnector;

	private final ByteBufferPool bufferPool;

	/**
	 * Creates a connector.
	 * @param ioThread thread that owns the connections
	 * @param bufferPool pool of I/O buffers
	 */
	public HttpConnector(XnioIoThread ioThread, ByteBufferPool bufferPool) {
		this.ioThread = ioThread;
		this.checkingConnector = new CheckingConnector(ioThread);
		this.bufferPool = bufferPool;
	}

	/**
	 * Opens a connection for any number of calls.
	 * @param address the IP address and port
	 * @param callback receives the connection
	 */
	public void connect(String address, ClientCallback<KeptConnection> callback) {
		ResponseChecks checks = new ResponseChecks();
		RawConnection rawConnection = new RawConnection();
		connect(address, checks, new WriteTracker(), rawConnection, new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				callback.completed(new KeptConnection(connection, rawConnection, checks));
			}

			@Override
			public void failed(IOException failure) {
				callback.failed(failure);
			}

		});
	}

	void connect(String address, ResponseChecks checks, WriteTracker writeTracker, RawConnection rawConnection,
			ClientCallback<ClientConnection> callback) {
		OptionMap options = OptionMap.builder()
			.addAll(CONNECTION_OPTIONS)
			.set(CheckingConnector.RESPONSE_CHECKS, checks)
			.set(CheckingConnector.WRITE_TRACKER, writeTracker)
			.set(CheckingConnector.RAW_CONNECTION, rawConnection)
			.getMap();
		UndertowClient.getInstance()
			.connect(callback, URI.create("http://" + address), this.checkingConnector, this.bufferPool, options);
	}

	XnioIoThread.Key schedule(Runnable task, long delayMillis) {
		return this.ioThread.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Runs a task on the I/O thread once the current one has returned.
	 * @param task the task
	 */
	void execute(Runnable task) {
		this.ioThread.execute(task);
	}

	XnioIoThread.Key scheduleTimeout(Runnable task, long delayMillis) {
		return TimeoutTimer.start(this.ioThread, delayMillis, task);
	}

	PooledByteBuffer allocateBuffer() {
		return this.bufferPool.allocate();
	}

}
