package org.skylarkspring.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringWriteChannelListener;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.gateway.http.KeptConnection;

/**
 * One HTTP request whose response is passed to a listener chunk by chunk. All methods
 * must be called on the exchange's I/O thread, which also calls the listener.
 */
public final class HttpClientExchange {

	private static final int LOWEST_FINAL_STATUS = 200;

	private final HttpConnectionPool connectionPool;

	private final XnioIoThread ioThread;

	private final HttpClientRequest request;

	private final Listener listener;

	private KeptConnection connection;

	private StreamSourceChannel responseChannel;

	private boolean ended;

	/**
	 * Creates an exchange without starting it.
	 * @param connectionPool pool from which the connection is acquired
	 * @param ioThread the I/O thread that runs the exchange
	 * @param request the request to send
	 * @param listener receives the response or the failure
	 */
	public HttpClientExchange(HttpConnectionPool connectionPool, XnioIoThread ioThread, HttpClientRequest request,
			Listener listener) {
		this.connectionPool = connectionPool;
		this.ioThread = ioThread;
		this.request = request;
		this.listener = listener;
	}

	/** Acquires a connection and sends the request. */
	public void start() {
		this.connectionPool.acquire(this.ioThread, this.request, callback(this::sendRequest));
	}

	/**
	 * Cancels the request and closes its connection. The listener is not called again.
	 */
	public void cancel() {
		this.ended = true;
		IoUtils.safeClose(this.connection);
	}

	/** Suspends reading the response until {@link #resumeReads()} is called. */
	public void suspendReads() {
		Optional.ofNullable(this.responseChannel).ifPresent(StreamSourceChannel::suspendReads);
	}

	/** Resumes reading the response. */
	public void resumeReads() {
		if (!this.ended) {
			Optional.ofNullable(this.responseChannel).ifPresent(StreamSourceChannel::wakeupReads);
		}
	}

	private void sendRequest(KeptConnection newConnection) {
		if (this.ended) {
			IoUtils.safeClose(newConnection);
			return;
		}
		this.connection = newConnection;
		ClientRequest request = new ClientRequest().setMethod(this.request.method()).setPath(this.request.path());
		request.getRequestHeaders().put(Headers.HOST, this.request.address());
		this.request.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
		byte[] body = this.request.body().orElse("").getBytes(StandardCharsets.UTF_8);
		if (this.request.body().isPresent()) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
		}
		newConnection.sendRequest(request, callback(this::onRequestSent));
	}

	private void onRequestSent(ClientExchange exchange) {
		exchange.setResponseListener(callback(this::onResponseStarted));
		this.request.body()
			.filter((body) -> !body.isEmpty())
			.ifPresent((body) -> new StringWriteChannelListener(body).setup(exchange.getRequestChannel()));
	}

	private void onResponseStarted(ClientExchange exchange) {
		if (this.ended) {
			return;
		}
		this.connection.markHeadComplete();
		ClientResponse response = exchange.getResponse();
		if (response.getResponseCode() < LOWEST_FINAL_STATUS) {
			fail(new IOException("interim status " + response.getResponseCode() + " instead of a response"));
			return;
		}
		String contentType = Optional.ofNullable(response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE))
			.orElse("");
		this.listener.onResponseHeaders(response.getResponseCode(), contentType);
		this.responseChannel = exchange.getResponseChannel();
		ChannelListener<StreamSourceChannel> reader = this::readAvailable;
		this.responseChannel.getReadSetter().set(reader);
		readAvailable(this.responseChannel);
	}

	private void readAvailable(StreamSourceChannel source) {
		if (this.ended) {
			return;
		}
		try (PooledByteBuffer pooled = this.connectionPool.bufferPool().allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			while (!this.ended) {
				buffer.clear();
				int bytesRead = source.read(buffer);
				if (bytesRead == 0) {
					source.resumeReads();
					return;
				}
				if (bytesRead < 0) {
					this.connection.requireValidBody();
					complete();
					return;
				}
				buffer.flip();
				this.listener.onChunk(buffer);
			}
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void complete() {
		this.ended = true;
		if (this.request.connectionReuseAllowed()) {
			this.connectionPool.release(this.ioThread, this.request.address(), this.connection);
		}
		else {
			IoUtils.safeClose(this.connection);
		}
		this.listener.onComplete();
	}

	private void fail(IOException failure) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		IoUtils.safeClose(this.connection);
		Verdict verdict = (failure instanceof HttpClientException clientFailure) ? clientFailure.verdict()
				: Verdict.MAY_HAVE_RUN;
		this.listener.onFailure(verdict, describe(failure));
	}

	private String describe(IOException failure) {
		return (this.connection != null) ? this.connection.describe(failure) : String.valueOf(failure.getMessage());
	}

	private <T> ClientCallback<T> callback(Consumer<T> onCompleted) {
		return new ClientCallback<>() {

			@Override
			public void completed(T result) {
				onCompleted.accept(result);
			}

			@Override
			public void failed(IOException failure) {
				fail(failure);
			}

		};
	}

	/**
	 * Receives the response or the failure of an exchange.
	 */
	public interface Listener {

		/**
		 * Called when the response headers have been received.
		 * @param status the HTTP status code
		 * @param contentType media type, empty if the response has none
		 */
		void onResponseHeaders(int status, String contentType);

		/**
		 * Called when a part of the response body has been received.
		 * @param chunk the received bytes, valid only during this method call
		 */
		void onChunk(ByteBuffer chunk);

		/** Called when the complete response body has been received. */
		void onComplete();

		/**
		 * Called when no complete response could be received.
		 * @param verdict whether the server may have run the request
		 * @param message description of the failure
		 */
		void onFailure(Verdict verdict, String message);

	}

}
