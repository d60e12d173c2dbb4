package org.skylarkspring.gateway.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.xnio.XnioIoThread;

/**
 * Sends HTTP calls whose responses are text. <pre class="code">
 * client.sendAsync("10.0.0.1:8742", request, 500, (result) -> ...);
 * </pre>
 */
public final class HttpTextClient {

	private static final int LOWEST_FINAL_STATUS = 200;

	private final HttpConnector connector;

	/**
	 * Creates a client.
	 * @param connector opens connections on the thread that owns the client
	 */
	public HttpTextClient(HttpConnector connector) {
		this.connector = connector;
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
		sendAsync(address, request, timeoutMillis, timeoutMillis, result);
	}

	/**
	 * Sends a call and returns immediately. A result that the call was not sent for
	 * {@link HttpClientCall#CONNECT_TIMEOUT_REASON} tells that the server could not be
	 * reached.
	 * @param address the IP address and port
	 * @param request the call
	 * @param connectTimeoutMillis longest time until the connection is established, in
	 * milliseconds
	 * @param timeoutMillis longest time until the whole response is received, in
	 * milliseconds
	 * @param result receives the result, exactly once
	 */
	public void sendAsync(String address, HttpTextRequest request, long connectTimeoutMillis, long timeoutMillis,
			Consumer<HttpTextResult> result) {
		ResponseCollector collector = new ResponseCollector(request.maximumResponseBytes(), result);
		HttpClientCall call = new HttpClientCall(this.connector, collector);
		collector.call = call;
		collector.timeoutTimer = this.connector.schedule(
				() -> collector.cancelAndFail("no complete response within " + timeoutMillis + " ms"), timeoutMillis);
		byte[] body = request.body().orElse("").getBytes(StandardCharsets.UTF_8);
		ClientRequest head = new ClientRequest().setMethod(request.method()).setPath(request.path());
		head.getRequestHeaders().put(Headers.HOST, address);
		request.body().ifPresent((text) -> {
			head.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
			head.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
		});
		call.start(address, head, body, connectTimeoutMillis);
	}

	/**
	 * Collects the response to one call.
	 */
	private static final class ResponseCollector implements HttpClientCall.Listener {

		private final int maximumBytes;

		private final Consumer<HttpTextResult> callback;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private HttpClientCall call;

		private XnioIoThread.Key timeoutTimer;

		private int status;

		private HeaderMap headers;

		private boolean completed;

		private ResponseCollector(int maximumBytes, Consumer<HttpTextResult> callback) {
			this.maximumBytes = maximumBytes;
			this.callback = callback;
		}

		@Override
		public void onResponseHeaders(ClientResponse response) {
			this.status = response.getResponseCode();
			this.headers = response.getResponseHeaders();
			if (this.status < LOWEST_FINAL_STATUS) {
				cancelAndFail("interim status " + this.status + " instead of a response");
			}
		}

		@Override
		public boolean onData(ByteBuffer data) {
			if (this.body.size() + data.remaining() > this.maximumBytes) {
				cancelAndFail("response exceeds the maximum of " + this.maximumBytes + " bytes");
				return false;
			}
			byte[] chunk = new byte[data.remaining()];
			data.get(chunk);
			this.body.writeBytes(chunk);
			return true;
		}

		@Override
		public void onComplete() {
			complete(
					new HttpTextResult.Answered(this.status, this.headers, this.body.toString(StandardCharsets.UTF_8)));
		}

		@Override
		public void onFailure(DeliveryStatus outcome, String reason) {
			complete(new HttpTextResult.Failed(outcome, reason));
		}

		private void cancelAndFail(String reason) {
			this.call.cancel();
			complete(new HttpTextResult.Failed(DeliveryStatus.UNKNOWN, reason));
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
