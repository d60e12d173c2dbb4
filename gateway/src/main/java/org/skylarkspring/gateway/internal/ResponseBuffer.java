package org.skylarkspring.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.skylarkspring.gateway.policy.SseEvent;
import org.skylarkspring.gateway.policy.SseEventSplitter;
import org.skylarkspring.gateway.pressure.ResponseMemory;

/**
 * Part of a server's response that is not relayed yet: the beginning of a body or of an
 * event.
 */
final class ResponseBuffer {

	private final ResponseMemory memory;

	private final ResponseMemory.Share share;

	private final SseEventSplitter splitter = new SseEventSplitter();

	private ByteArrayOutputStream body = new ByteArrayOutputStream();

	ResponseBuffer(ResponseMemory memory) {
		this.memory = memory;
		this.share = memory.openShare();
	}

	/**
	 * Adds bytes of a stream.
	 * @param data the bytes
	 * @param eventConsumer receives each complete event
	 * @return {@code false} if an event is larger than allowed
	 */
	boolean addStreamBytes(ByteBuffer data, Consumer<SseEvent> eventConsumer) {
		boolean withinLimit = this.splitter.accept(data, this.memory.maximumResponseBytes(), eventConsumer);
		countBytes();
		return withinLimit;
	}

	/**
	 * Adds bytes of a body that is relayed in one part if it is small enough.
	 * @param part the bytes
	 * @return {@code false} if the body is larger than allowed
	 */
	boolean addBodyBytes(byte[] part) {
		this.body.writeBytes(part);
		countBytes();
		return this.body.size() <= this.memory.maximumResponseBytes();
	}

	// The body's array may be twice as large as the bytes in it.
	private void countBytes() {
		this.share.set(this.splitter.capacity() + 2 * this.body.size());
	}

	byte[] body() {
		return this.body.toByteArray();
	}

	/**
	 * Returns the body received so far and empties the buffer.
	 * @return the body
	 */
	byte[] takeBody() {
		byte[] taken = this.body.toByteArray();
		this.body = new ByteArrayOutputStream();
		countBytes();
		return taken;
	}

	boolean isInsideEvent() {
		return this.splitter.isInsideEvent();
	}

	byte[] bytesAfterLastEvent() {
		return this.splitter.bytesAfterLastEvent();
	}

	/** Stops counting the bytes, because the response is relayed or has failed. */
	void release() {
		this.share.close();
	}

}
