package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One call on a connection of its own, closed when the call ends. A connection that was
 * never used can't bring an answer to another call, and if it can't be made, nothing was
 * sent. All methods and all calls of the listener happen on the owning I/O thread.
 */
public final class HttpClientCall {

	/** Reason of a failure: the connection was not made in time. */
	public static final String CONNECT_TIMEOUT_REASON = "no connection in time";

	private static final OptionMap CONNECTION_OPTIONS = OptionMap.builder()
		.set(UndertowOptions.ENABLE_HTTP2, false)
		.set(Options.TCP_NODELAY, true)
		.getMap();

	private final XnioIoThread ioThread;

	private final ByteBufferPool bufferPool;

	private final Listener listener;

	private ClientConnection connection;

	private StreamSourceChannel responseChannel;

	private XnioIoThread.Key connectTimer;

	private boolean requestSent;

	private boolean closed;

	/**
	 * Creates a call that is not started yet.
	 * @param ioThread thread that owns the call
	 * @param bufferPool pool of buffers
	 * @param listener receives the answer
	 */
	public HttpClientCall(XnioIoThread ioThread, ByteBufferPool bufferPool, Listener listener) {
		this.ioThread = ioThread;
		this.bufferPool = bufferPool;
		this.listener = listener;
	}

	/**
	 * Connects and sends.
	 * @param address address by IP number, with the port
	 * @param request head of the request; its length header must match the body
	 * @param body the body, empty for none
	 * @param connectTimeoutMillis longest time to connect
	 */
	public void start(String address, ClientRequest request, byte[] body, long connectTimeoutMillis) {
		this.connectTimer = this.ioThread.executeAfter(() -> fail(new IOException(CONNECT_TIMEOUT_REASON)),
				connectTimeoutMillis, TimeUnit.MILLISECONDS);
		UndertowClient.getInstance()
			.connect(callback((connected) -> sendRequest(connected, request, body), this::closeLateConnection),
					URI.create("http://" + address), this.ioThread, this.bufferPool, CONNECTION_OPTIONS);
	}

	/** Gives the call up and closes its connection. The listener is not called again. */
	public void cancel() {
		close();
	}

	/** Stops to read the answer until told to go on. */
	public void suspendReads() {
		if (this.responseChannel != null && !this.closed) {
			this.responseChannel.suspendReads();
		}
	}

	/** Goes on to read the answer. */
	public void resumeReads() {
		if (this.responseChannel != null && !this.closed) {
			this.responseChannel.wakeupReads();
		}
	}

	private void closeLateConnection(ClientConnection late) {
		IoUtils.safeClose(late);
	}

	private void sendRequest(ClientConnection connected, ClientRequest request, byte[] body) {
		this.connectTimer.remove();
		this.connection = connected;
		if (!this.listener.beforeSend()) {
			fail(new IOException("withdrawn before it was sent"));
			return;
		}
		this.requestSent = true;
		connected.sendRequest(request, callback((exchange) -> onRequestSent(exchange, body), (exchange) -> {
		}));
	}

	private void onRequestSent(ClientExchange exchange, byte[] body) {
		exchange.setResponseListener(callback(this::onResponse, (late) -> {
		}));
		if (body.length > 0) {
			startBodyWrite(exchange.getRequestChannel(), ByteBuffer.wrap(body));
		}
	}

	private void startBodyWrite(StreamSinkChannel sink, ByteBuffer body) {
		sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (ready) -> continueBodyWrite(ready, body));
		continueBodyWrite(sink, body);
	}

	private void continueBodyWrite(StreamSinkChannel sink, ByteBuffer body) {
		if (this.closed) {
			return;
		}
		try {
			while (body.hasRemaining()) {
				if (sink.write(body) == 0) {
					sink.resumeWrites();
					return;
				}
			}
			sink.shutdownWrites();
			if (sink.flush()) {
				sink.suspendWrites();
			}
			else {
				sink.resumeWrites();
			}
		}
		catch (IOException ex) {
			// An answer may have come before the body was read; only its absence is a
			// failure.
			sink.suspendWrites();
			if (this.responseChannel == null) {
				fail(ex);
			}
		}
	}

	private void onResponse(ClientExchange exchange) {
		ClientResponse response = exchange.getResponse();
		this.responseChannel = exchange.getResponseChannel();
		this.responseChannel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::readBody);
		this.listener.onResponseHeaders(response);
		if (!this.closed) {
			readBody(this.responseChannel);
		}
	}

	private void readBody(StreamSourceChannel source) {
		if (this.closed) {
			return;
		}
		try (PooledByteBuffer pooled = this.bufferPool.allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			while (!this.closed) {
				buffer.clear();
				int count = source.read(buffer);
				if (count == 0) {
					source.resumeReads();
					return;
				}
				if (count < 0) {
					close();
					this.listener.onComplete();
					return;
				}
				buffer.flip();
				if (!this.listener.onData(buffer)) {
					source.suspendReads();
					return;
				}
			}
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void fail(IOException failure) {
		if (!this.closed) {
			close();
			this.listener.onFailure(this.requestSent ? DeliveryStatus.UNKNOWN : DeliveryStatus.NOT_SENT,
					(failure.getMessage() != null) ? failure.getMessage() : failure.getClass().getSimpleName());
		}
	}

	private void close() {
		this.closed = true;
		if (this.connectTimer != null) {
			this.connectTimer.remove();
		}
		if (this.responseChannel != null) {
			this.responseChannel.suspendReads();
		}
		IoUtils.safeClose(this.connection);
	}

	private <T> ClientCallback<T> callback(Consumer<T> completed, Consumer<T> late) {
		return new ClientCallback<>() {

			@Override
			public void completed(T result) {
				if (HttpClientCall.this.closed) {
					late.accept(result);
				}
				else {
					completed.accept(result);
				}
			}

			@Override
			public void failed(IOException failure) {
				fail(failure);
			}

		};
	}

	/**
	 * Receives the answer to a call.
	 */
	public interface Listener {

		/**
		 * The connection is made and the request is about to be sent.
		 * @return {@code false} to withdraw it
		 */
		default boolean beforeSend() {
			return true;
		}

		/**
		 * The head of the answer has arrived.
		 * @param response the head
		 */
		void onResponseHeaders(ClientResponse response);

		/**
		 * Part of the body has arrived.
		 * @param data the part, valid during the call only
		 * @return {@code false} to stop reading until told to go on
		 */
		boolean onData(ByteBuffer data);

		/** The answer is complete. */
		void onComplete();

		/**
		 * The call has failed, or its answer broke off.
		 * @param outcome what is known of the call
		 * @param reason what went wrong, for logs
		 */
		void onFailure(DeliveryStatus outcome, String reason);

	}

}
