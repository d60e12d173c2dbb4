package org.skylarkspring.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.skylarkspring.core.model.Verdict;

/**
 * Buffers a complete response up to a maximum body size. A larger response is reported as
 * a failure.
 */
public final class ResponseCollector implements HttpClientExchange.Listener {

	private final int maximumBytes;

	private final Consumer<HttpClientResponse> responseConsumer;

	private final BiConsumer<Verdict, String> failureConsumer;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	private String contentType = "";

	private boolean responseTooLarge;

	/**
	 * Creates a collector.
	 * @param maximumBytes maximum size of the body in bytes
	 * @param responseConsumer receives the complete response
	 * @param failureConsumer receives the verdict and a description of the failure
	 */
	public ResponseCollector(int maximumBytes, Consumer<HttpClientResponse> responseConsumer,
			BiConsumer<Verdict, String> failureConsumer) {
		this.maximumBytes = maximumBytes;
		this.responseConsumer = responseConsumer;
		this.failureConsumer = failureConsumer;
	}

	@Override
	public void onResponseHeaders(int responseStatus, String responseContentType) {
		this.status = responseStatus;
		this.contentType = responseContentType;
	}

	@Override
	public void onChunk(ByteBuffer chunk) {
		if (this.body.size() + chunk.remaining() > this.maximumBytes) {
			this.responseTooLarge = true;
			return;
		}
		byte[] bytes = new byte[chunk.remaining()];
		chunk.get(bytes);
		this.body.write(bytes, 0, bytes.length);
	}

	@Override
	public void onComplete() {
		if (this.responseTooLarge) {
			this.failureConsumer.accept(Verdict.MAY_HAVE_RUN, "response body exceeds " + this.maximumBytes + " bytes");
			return;
		}
		this.responseConsumer
			.accept(new HttpClientResponse(this.status, this.contentType, this.body.toString(StandardCharsets.UTF_8)));
	}

	@Override
	public void onFailure(Verdict verdict, String message) {
		this.failureConsumer.accept(verdict, message);
	}

}
