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
public final class TextClient {

	private static final int MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;

	private final XnioIoThread ioThread;

	private final ByteBufferPool buffers;

	/**
	 * Creates a client.
	 * @param ioThread thread that owns the client
	 * @param buffers pool of buffers
	 */
	public TextClient(XnioIoThread ioThread, ByteBufferPool buffers) {
		this.ioThread = ioThread;
		this.buffers = buffers;
	}

	/**
	 * Makes a call.
	 * @param address address by IP number, with the port
	 * @param request the call
	 * @param timeoutMillis longest time until the whole answer has arrived
	 * @param result receives the outcome, once
	 */
	public void call(String address, TextRequest request, long timeoutMillis, Consumer<TextResult> result) {
		Collector collector = new Collector(result);
		ServerCall call = new ServerCall(this.ioThread, this.buffers, collector);
		collector.timer = this.ioThread.executeAfter(() -> {
			call.cancel();
			collector.finish(new TextResult.Failed(CallOutcome.UNKNOWN, "no answer in time"));
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
	private static final class Collector implements ServerCall.Listener {

		private final Consumer<TextResult> result;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private XnioIoThread.Key timer;

		private int status;

		private boolean finished;

		private Collector(Consumer<TextResult> result) {
			this.result = result;
		}

		@Override
		public void onHead(ClientResponse response) {
			this.status = response.getResponseCode();
		}

		@Override
		public boolean onData(ByteBuffer data) {
			byte[] part = new byte[data.remaining()];
			data.get(part);
			if (this.body.size() + part.length <= MAXIMUM_ANSWER_BYTES) {
				this.body.writeBytes(part);
			}
			return true;
		}

		@Override
		public void onEnd() {
			finish(new TextResult.Answered(this.status, this.body.toString(StandardCharsets.UTF_8)));
		}

		@Override
		public void onFailure(CallOutcome outcome, String reason) {
			finish(new TextResult.Failed(outcome, reason));
		}

		private void finish(TextResult outcome) {
			if (!this.finished) {
				this.finished = true;
				this.timer.remove();
				this.result.accept(outcome);
			}
		}

	}

}
