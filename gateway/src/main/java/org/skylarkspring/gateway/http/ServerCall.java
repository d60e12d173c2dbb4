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
public final class ServerCall {

	/** Reason of a failure: the connection was not made in time. */
	public static final String CONNECT_TIMEOUT = "no connection in time";

	private static final OptionMap OPTIONS = OptionMap.builder()
		.set(UndertowOptions.ENABLE_HTTP2, false)
		.set(Options.TCP_NODELAY, true)
		.getMap();

	private final XnioIoThread ioThread;

	private final ByteBufferPool buffers;

	private final Listener listener;

	private ClientConnection connection;

	private StreamSourceChannel channel;

	private XnioIoThread.Key connectTimer;

	private boolean sent;

	private boolean ended;

	/**
	 * Creates a call that is not started yet.
	 * @param ioThread thread that owns the call
	 * @param buffers pool of buffers
	 * @param listener receives the answer
	 */
	public ServerCall(XnioIoThread ioThread, ByteBufferPool buffers, Listener listener) {
		this.ioThread = ioThread;
		this.buffers = buffers;
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
		this.connectTimer = this.ioThread.executeAfter(() -> fail(new IOException(CONNECT_TIMEOUT)),
				connectTimeoutMillis, TimeUnit.MILLISECONDS);
		UndertowClient.getInstance()
			.connect(callback((connected) -> send(connected, request, body), this::discard),
					URI.create("http://" + address), this.ioThread, this.buffers, OPTIONS);
	}

	/** Gives the call up and closes its connection. The listener is not called again. */
	public void cancel() {
		end();
	}

	/** Stops to read the answer until told to go on. */
	public void suspendReads() {
		if (this.channel != null && !this.ended) {
			this.channel.suspendReads();
		}
	}

	/** Goes on to read the answer. */
	public void resumeReads() {
		if (this.channel != null && !this.ended) {
			this.channel.wakeupReads();
		}
	}

	private void discard(ClientConnection late) {
		IoUtils.safeClose(late);
	}

	private void send(ClientConnection connected, ClientRequest request, byte[] body) {
		this.connectTimer.remove();
		this.connection = connected;
		if (!this.listener.beforeSend()) {
			fail(new IOException("withdrawn before it was sent"));
			return;
		}
		this.sent = true;
		connected.sendRequest(request, callback((exchange) -> sent(exchange, body), (exchange) -> {
		}));
	}

	private void sent(ClientExchange exchange, byte[] body) {
		exchange.setResponseListener(callback(this::answered, (late) -> {
		}));
		if (body.length > 0) {
			write(exchange.getRequestChannel(), ByteBuffer.wrap(body));
		}
	}

	private void write(StreamSinkChannel sink, ByteBuffer body) {
		sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (ready) -> writeMore(ready, body));
		writeMore(sink, body);
	}

	private void writeMore(StreamSinkChannel sink, ByteBuffer body) {
		if (this.ended) {
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
			if (this.channel == null) {
				fail(ex);
			}
		}
	}

	private void answered(ClientExchange exchange) {
		ClientResponse response = exchange.getResponse();
		this.channel = exchange.getResponseChannel();
		this.channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) this::read);
		this.listener.onHead(response);
		if (!this.ended) {
			read(this.channel);
		}
	}

	private void read(StreamSourceChannel source) {
		if (this.ended) {
			return;
		}
		try (PooledByteBuffer pooled = this.buffers.allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			while (!this.ended) {
				buffer.clear();
				int count = source.read(buffer);
				if (count == 0) {
					source.resumeReads();
					return;
				}
				if (count < 0) {
					end();
					this.listener.onEnd();
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
		if (!this.ended) {
			end();
			this.listener.onFailure(this.sent ? CallOutcome.UNKNOWN : CallOutcome.NOT_SENT,
					(failure.getMessage() != null) ? failure.getMessage() : failure.getClass().getSimpleName());
		}
	}

	private void end() {
		this.ended = true;
		if (this.connectTimer != null) {
			this.connectTimer.remove();
		}
		if (this.channel != null) {
			this.channel.suspendReads();
		}
		IoUtils.safeClose(this.connection);
	}

	private <T> ClientCallback<T> callback(Consumer<T> completed, Consumer<T> late) {
		return new ClientCallback<>() {

			@Override
			public void completed(T result) {
				if (ServerCall.this.ended) {
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
		void onHead(ClientResponse response);

		/**
		 * Part of the body has arrived.
		 * @param data the part, valid during the call only
		 * @return {@code false} to stop reading until told to go on
		 */
		boolean onData(ByteBuffer data);

		/** The answer is complete. */
		void onEnd();

		/**
		 * The call has failed, or its answer broke off.
		 * @param outcome what is known of the call
		 * @param reason what went wrong, for logs
		 */
		void onFailure(CallOutcome outcome, String reason);

	}

}
