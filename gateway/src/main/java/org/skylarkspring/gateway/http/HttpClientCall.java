package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Single HTTP call on a dedicated connection, which is closed when the call ends. Because
 * connections are not reused, a response cannot belong to another call, and a call to
 * whose connection no byte was written was not sent. The methods must be called on the
 * I/O thread that owns the call, and the listener is called on that thread. A call that
 * cannot be started, or whose listener throws an exception, fails like any other.
 */
public final class HttpClientCall {

	/** Failure reason: the connection was not established within the connect timeout. */
	public static final String CONNECT_TIMEOUT_REASON = "connection not established within the connect timeout";

	/** Failure reason: no process accepts connections at the address. */
	public static final String CONNECTION_REFUSED_REASON = "connection refused";

	private static final String WITHDRAWN_REASON = "call withdrawn before the request was sent";

	/**
	 * Number of body bytes read before other connections get their turn, so that a server
	 * that sends at full speed does not delay them.
	 */
	private static final int READ_BATCH_BYTES = 16 * 1024;

	private static final Logger STATE_LOGGER = LoggerFactory.getLogger("state");

	private final HttpConnector connector;

	private final Listener listener;

	private final ResponseChecks responseChecks = new ResponseChecks();

	private final WriteTracker writeTracker = new WriteTracker();

	private final RawConnection rawConnection = new RawConnection();

	private ClientConnection connection;

	private StreamSourceChannel responseChannel;

	private XnioIoThread.Key connectTimer;

	/** Sends the request on the established connection, {@code null} until then. */
	private Runnable pendingSend;

	private boolean closed;

	private boolean cancelled;

	private boolean failureReported;

	/**
	 * Creates a call, to be started by {@link #start}.
	 * @param connector opens the connection on the thread that owns the call
	 * @param listener receives the response
	 */
	public HttpClientCall(HttpConnector connector, Listener listener) {
		this.connector = connector;
		this.listener = listener;
	}

	/**
	 * Connects and sends the request.
	 * @param address the IP address and port
	 * @param request request line and headers; Content-Length must match the body
	 * @param body body of the request, empty for none
	 * @param connectTimeoutMillis connect timeout in milliseconds
	 */
	public void start(String address, ClientRequest request, byte[] body, long connectTimeoutMillis) {
		this.connectTimer = this.connector.scheduleTimeout(() -> fail(new IOException(CONNECT_TIMEOUT_REASON)),
				connectTimeoutMillis);
		try {
			this.connector.connect(address, this.responseChecks, this.writeTracker, this.rawConnection,
					callback((connected) -> onConnected(connected, request, body), this::closeLateConnection));
		}
		catch (RuntimeException ex) {
			// Such as for a text that is no IP address and port. Reported later, because
			// the calling code may not have recorded the call yet.
			IOException failure = new IOException("cannot connect to " + address + ": " + ex.getMessage(), ex);
			this.connector.execute(() -> fail(failure));
		}
	}

	/**
	 * Sends the request of a call whose listener decided to wait when the connection was
	 * established. Has no effect if the call has ended or the request was sent.
	 */
	public void send() {
		Runnable send = this.pendingSend;
		this.pendingSend = null;
		if (send != null && !this.closed) {
			runStep(send);
		}
	}

	/**
	 * Ends a call whose listener decided to wait, without sending its request. The
	 * listener is told that it was not sent.
	 */
	public void withdraw() {
		fail(new IOException(WITHDRAWN_REASON));
	}

	/** Cancels the call and closes its connection. The listener is not called again. */
	public void cancel() {
		this.cancelled = true;
		close();
	}

	/**
	 * Cancels the call and closes its connection once the tasks have run that are due now
	 * on its thread. The listener is not called again.
	 */
	public void cancelAfterDueTasks() {
		this.cancelled = true;
		this.closed = true;
		this.connector.execute(this::close);
	}

	/**
	 * Returns whether the server closed its side of the connection in order.
	 * @return {@code true} unless the connection was reset, or closed by this process
	 */
	public boolean isClosedByServer() {
		return this.responseChecks.isEndOfInput();
	}

	/** Stops reading the response until {@link #resumeReads()} is called. */
	public void suspendReads() {
		if (this.responseChannel != null && !this.closed) {
			this.responseChannel.suspendReads();
		}
	}

	/** Resumes reading the response. */
	public void resumeReads() {
		if (this.responseChannel != null && !this.closed) {
			this.responseChannel.wakeupReads();
		}
	}

	private void closeLateConnection(ClientConnection late) {
		this.rawConnection.close();
		IoUtils.safeClose(late);
	}

	private void onConnected(ClientConnection connected, ClientRequest request, byte[] body) {
		this.connectTimer.remove();
		this.connection = connected;
		this.pendingSend = () -> sendRequest(connected, request, body);
		SendDecision decision = this.listener.beforeSend();
		if (decision == SendDecision.SEND) {
			send();
		}
		else if (decision == SendDecision.WITHDRAW) {
			withdraw();
		}
	}

	private void sendRequest(ClientConnection connected, ClientRequest request, byte[] body) {
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
			// The server may respond before it has read the whole body, so a failed write
			// is an error only if no response was received.
			sink.suspendWrites();
			if (this.responseChannel == null) {
				fail(ex);
			}
		}
	}

	private void onResponse(ClientExchange exchange) {
		this.responseChecks.markHeadComplete();
		ClientResponse response = exchange.getResponse();
		this.responseChannel = exchange.getResponseChannel();
		this.responseChannel.getReadSetter()
			.set((ChannelListener<StreamSourceChannel>) (source) -> runStep(() -> readBody(source)));
		this.listener.onResponseHeaders(response);
		if (!this.closed) {
			readBody(this.responseChannel);
		}
	}

	private void readBody(StreamSourceChannel source) {
		if (this.closed) {
			return;
		}
		try (PooledByteBuffer pooled = this.connector.allocateBuffer()) {
			ByteBuffer buffer = pooled.getBuffer();
			int batchBytes = 0;
			while (!this.closed) {
				if (batchBytes >= READ_BATCH_BYTES) {
					source.resumeReads();
					return;
				}
				buffer.clear().limit(Math.min(buffer.capacity(), this.listener.maximumReadBytes()));
				int count = source.read(buffer);
				if (count == 0) {
					source.resumeReads();
					return;
				}
				if (count < 0) {
					this.responseChecks.requireValidBody();
					close();
					this.listener.onComplete();
					return;
				}
				buffer.flip();
				batchBytes += count;
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
			reportFailure(describe(failure));
		}
	}

	// The I/O thread only logs an exception, so that the call would have no end.
	private void runStep(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | StackOverflowError ex) {
			STATE_LOGGER.atError().setCause(ex).log("exception while handling a response, ending the call");
			close();
			if (!this.cancelled && !this.failureReported) {
				reportFailure("exception while handling the response: " + ex);
			}
		}
	}

	private void reportFailure(String reason) {
		this.failureReported = true;
		boolean invalidHead = this.responseChecks.headFault().isPresent();
		try {
			if (invalidHead) {
				this.listener.onInvalidHead(reason);
				return;
			}
			this.listener.onFailure(this.writeTracker.hasWritten() ? DeliveryStatus.UNKNOWN : DeliveryStatus.NOT_SENT,
					reason);
		}
		catch (RuntimeException | StackOverflowError ex) {
			STATE_LOGGER.atError().setCause(ex).log("exception while handling the failure of a call");
		}
	}

	private String describe(IOException failure) {
		return (failure instanceof ConnectException) ? CONNECTION_REFUSED_REASON
				: this.responseChecks.describe(failure);
	}

	private void close() {
		this.closed = true;
		if (this.connectTimer != null) {
			this.connectTimer.remove();
		}
		if (this.responseChannel != null) {
			this.responseChannel.suspendReads();
		}
		this.rawConnection.close();
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
					runStep(() -> completed.accept(result));
				}
			}

			@Override
			public void failed(IOException failure) {
				fail(failure);
			}

		};
	}

	/**
	 * What happens to a request once its connection is established.
	 */
	public enum SendDecision {

		/** The request is sent. */
		SEND,

		/** The request is not sent before {@link HttpClientCall#send()} is called. */
		WAIT,

		/** The call fails without being sent. */
		WITHDRAW

	}

	/**
	 * Receives the response to a call.
	 */
	public interface Listener {

		/**
		 * Called when the connection is established, before the request is sent.
		 * @return what happens to the request
		 */
		default SendDecision beforeSend() {
			return SendDecision.SEND;
		}

		/**
		 * Called when the status and headers of the response have been received.
		 * @param response status and headers
		 */
		void onResponseHeaders(ClientResponse response);

		/**
		 * Returns how many bytes of the body may be read before the next call of
		 * {@link #onData}.
		 * @return number of bytes, at least one
		 */
		default int maximumReadBytes() {
			return Integer.MAX_VALUE;
		}

		/**
		 * Called when part of the response body has been received.
		 * @param data the bytes received, valid only until this method returns
		 * @return {@code false} to stop reading until
		 * {@link HttpClientCall#resumeReads()} is called
		 */
		boolean onData(ByteBuffer data);

		/** Called when the response is complete. */
		void onComplete();

		/**
		 * Called when the call has failed or the response was truncated.
		 * @param outcome whether the call may have reached the server
		 * @param reason what went wrong, for logs
		 */
		void onFailure(DeliveryStatus outcome, String reason);

		/**
		 * Called instead of {@link #onFailure} when the head of the response is
		 * malformed. The server lives, but nothing is known of the call.
		 * @param reason description that names the status or line, for logs
		 */
		default void onInvalidHead(String reason) {
			onFailure(DeliveryStatus.UNKNOWN, reason);
		}

	}

}
