package org.skylarkspring.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
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

/**
 * One call whose response is read chunk by chunk. All methods and all calls of the
 * listener happen on one I/O thread.
 */
public final class HttpClientExchange {

	private final HttpConnectionPool connectionPool;

	private final XnioIoThread ioThread;

	private final HttpClientRequest request;

	private final Listener listener;

	private ClientConnection connection;

	private StreamSourceChannel responseChannel;

	private boolean ended;

	/**
	 * Creates an exchange that is not started yet.
	 * @param connectionPool connections to use
	 * @param ioThread thread that owns the exchange
	 * @param request the call
	 * @param listener receives the response
	 */
	public HttpClientExchange(HttpConnectionPool connectionPool, XnioIoThread ioThread, HttpClientRequest request,
			Listener listener) {
		this.connectionPool = connectionPool;
		this.ioThread = ioThread;
		this.request = request;
		this.listener = listener;
	}

	/** Connects and sends the call. */
	public void start() {
		this.connectionPool.acquire(this.ioThread, this.request, callback(this::sendRequest));
	}

	/**
	 * Gives the call up and closes its connection. The listener is not called again.
	 */
	public void cancel() {
		this.ended = true;
		IoUtils.safeClose(this.connection);
	}

	/** Stops to read the response until told to go on. */
	public void suspendReads() {
		Optional.ofNullable(this.responseChannel).ifPresent(StreamSourceChannel::suspendReads);
	}

	/** Goes on to read the response. */
	public void resumeReads() {
		if (!this.ended) {
			Optional.ofNullable(this.responseChannel).ifPresent(StreamSourceChannel::wakeupReads);
		}
	}

	private void sendRequest(ClientConnection connected) {
		if (this.ended) {
			IoUtils.safeClose(connected);
			return;
		}
		this.connection = connected;
		ClientRequest request = new ClientRequest().setMethod(this.request.method()).setPath(this.request.path());
		request.getRequestHeaders().put(Headers.HOST, this.request.address());
		this.request.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
		byte[] body = this.request.body().orElse("").getBytes(StandardCharsets.UTF_8);
		if (this.request.body().isPresent()) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
		}
		connected.sendRequest(request, callback(this::onRequestSent));
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
		ClientResponse response = exchange.getResponse();
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
				int count = source.read(buffer);
				if (count == 0) {
					source.resumeReads();
					return;
				}
				if (count < 0) {
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
		Verdict verdict = (failure instanceof HttpClientException known) ? known.verdict() : Verdict.MAY_HAVE_RUN;
		this.listener.onFailure(verdict, String.valueOf(failure.getMessage()));
	}

	private <T> ClientCallback<T> callback(Consumer<T> completed) {
		return new ClientCallback<>() {

			@Override
			public void completed(T result) {
				completed.accept(result);
			}

			@Override
			public void failed(IOException failure) {
				fail(failure);
			}

		};
	}

	/**
	 * Receives the response.
	 */
	public interface Listener {

		/**
		 * The head of the response has arrived.
		 * @param status the status
		 * @param contentType media type, empty if none was given
		 */
		void onResponseHeaders(int status, String contentType);

		/**
		 * Part of the body has arrived.
		 * @param chunk the part, valid during the call only
		 */
		void onChunk(ByteBuffer chunk);

		/** The body has ended. */
		void onComplete();

		/**
		 * The call has failed.
		 * @param verdict whether the call may have run
		 * @param message what went wrong
		 */
		void onFailure(Verdict verdict, String message);

	}

}
