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
 * Sends HTTP calls whose responses are text. <pre class="code">
 * client.sendAsync("10.0.0.1:8742", request, 500, (result) -> ...);
 * </pre>
 */
public final class HttpTextClient {

	/** Data that would make the body larger than this is discarded. */
	private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

	private final XnioIoThread ioThread;

	private final ByteBufferPool bufferPool;

	/**
	 * Creates a client.
	 * @param ioThread thread that owns the client
	 * @param bufferPool pool of I/O buffers
	 */
	public HttpTextClient(XnioIoThread ioThread, ByteBufferPool bufferPool) {
		this.ioThread = ioThread;
		this.bufferPool = bufferPool;
	}

	/**
	 * Sends a call and returns immediately.
	 * @param address the IP address and port
	 * @param request the call
	 * @param timeoutMillis longest time until the whole response is received, in
	 * milliseconds
	 * @param result receives the result, exactly once
	 */
	public void sendAsync(String address, HttpTextRequest request, long timeoutMillis,
			Consumer<HttpTextResult> result) {
		ResponseCollector collector = new ResponseCollector(result);
		HttpClientCall call = new HttpClientCall(this.ioThread, this.bufferPool, collector);
		collector.timeoutTimer = this.ioThread.executeAfter(() -> {
			call.cancel();
			collector.complete(new HttpTextResult.Failed(DeliveryStatus.UNKNOWN,
					"no complete response within " + timeoutMillis + " ms"));
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
	 * Collects the response to one call.
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
			byte[] chunk = new byte[data.remaining()];
			data.get(chunk);
			if (this.body.size() + chunk.length <= MAXIMUM_RESPONSE_BYTES) {
				this.body.writeBytes(chunk);
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

		private void complete(HttpTextResult result) {
			if (!this.completed) {
				this.completed = true;
				this.timeoutTimer.remove();
				this.callback.accept(result);
			}
		}

	}

}
