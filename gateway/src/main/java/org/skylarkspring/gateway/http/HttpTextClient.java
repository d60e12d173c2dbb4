package org.skylarkspring.gateway.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import org.xnio.XnioIoThread;

/**
 * Makes calls that are answered by text. <pre class="code">
 * client.call("10.0.0.1:8742", request, 500, (result) -> ...);
 * </pre>
 */
public final class HttpTextClient {

	private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

	private final XnioIoThread ioThread;

	private final ByteBufferPool bufferPool;

	/**
	 * Creates a client.
	 * @param ioThread thread that owns the client
	 * @param bufferPool pool of buffers
	 */
	public HttpTextClient(XnioIoThread ioThread, ByteBufferPool bufferPool) {
		this.ioThread = ioThread;
		this.bufferPool = bufferPool;
	}

	/**
	 * Makes a call.
	 * @param address address by IP number, with the port
	 * @param request the call
	 * @param timeoutMillis longest time until the whole answer has arrived
	 * @param result receives the outcome, once
	 */
	public void sendAsync(String address, HttpTextRequest request, long timeoutMillis,
			Consumer<HttpTextResult> result) {
		ResponseCollector collector = new ResponseCollector(result);
		HttpClientCall call = new HttpClientCall(this.ioThread, this.bufferPool, collector);
		collector.timeoutTimer = this.ioThread.executeAfter(() -> {
			call.cancel();
			collector.complete(new HttpTextResult.Failed(DeliveryStatus.UNKNOWN, "no answer in time"));
		}, timeoutMillis, TimeUnit.MILLISECONDS);
		byte[] body = request.body().orElse("").getBytes(StandardCharsets.UTF_8);
		ClientRequest head = new ClientRequest().setMethod(request.method()).setPath(request.path());
		head.getRequestHeaders().put(Headers.HOST, address);
		request.body().ifPresent((text) -> {
			head.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
			head.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
		});
		call.start(address, head, body, timeoutMillis);
	}

	/**
	 * Collects one answer.
	 */
	private static final class ResponseCollector implements HttpClientCall.Listener {

		private final Consumer<HttpTextResult> callback;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private XnioIoThread.Key timeoutTimer;

		private int status;

		private boolean completed;

		private ResponseCollector(Consumer<HttpTextResult> callback) {
			this.callback = callback;
		}

		@Override
		public void onResponseHeaders(ClientResponse response) {
			this.status = response.getResponseCode();
		}

		@Override
		public boolean onData(ByteBuffer data) {
			byte[] part = new byte[data.remaining()];
			data.get(part);
			if (this.body.size() + part.length <= MAXIMUM_RESPONSE_BYTES) {
				this.body.writeBytes(part);
			}
			return true;
		}

		@Override
		public void onComplete() {
			complete(new HttpTextResult.Answered(this.status, this.body.toString(StandardCharsets.UTF_8)));
		}

		@Override
		public void onFailure(DeliveryStatus outcome, String reason) {
			complete(new HttpTextResult.Failed(outcome, reason));
		}

		private void complete(HttpTextResult outcome) {
			if (!this.completed) {
				this.completed = true;
				this.timeoutTimer.remove();
				this.callback.accept(outcome);
			}
		}

	}

}
