package org.skylarkspring.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.skylarkspring.core.model.Verdict;

/**
 * Collects a whole response up to a maximum size.
 */
public final class BodyCollector implements HttpExchange.Listener {

	private final int maximumBytes;

	private final Consumer<HttpReply> whole;

	private final BiConsumer<Verdict, String> failure;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	private String contentType = "";

	private boolean tooLarge;

	/**
	 * Creates a collector.
	 * @param maximumBytes largest body
	 * @param whole receives the whole response
	 * @param failure receives the verdict and what went wrong
	 */
	public BodyCollector(int maximumBytes, Consumer<HttpReply> whole, BiConsumer<Verdict, String> failure) {
		this.maximumBytes = maximumBytes;
		this.whole = whole;
		this.failure = failure;
	}

	@Override
	public void onResponse(int responseStatus, String responseContentType) {
		this.status = responseStatus;
		this.contentType = responseContentType;
	}

	@Override
	public void onChunk(ByteBuffer chunk) {
		if (this.body.size() + chunk.remaining() > this.maximumBytes) {
			this.tooLarge = true;
			return;
		}
		byte[] bytes = new byte[chunk.remaining()];
		chunk.get(bytes);
		this.body.write(bytes, 0, bytes.length);
	}

	@Override
	public void onComplete() {
		if (this.tooLarge) {
			this.failure.accept(Verdict.MAY_HAVE_RUN, "response above " + this.maximumBytes + " bytes");
			return;
		}
		this.whole.accept(new HttpReply(this.status, this.contentType, this.body.toString(StandardCharsets.UTF_8)));
	}

	@Override
	public void onFailure(Verdict verdict, String message) {
		this.failure.accept(verdict, message);
	}

}
