package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import org.xnio.channels.StreamSinkChannel;

/**
 * Bytes that a connection has not taken yet. Small parts share blocks, so that many of
 * them do not use a multiple of their size.
 */
final class PendingBytes {

	private static final int BLOCK_BYTES = 4 * 1024;

	/** Blocks that are being read, the limit of each is the end of its bytes. */
	private final Deque<ByteBuffer> blocks = new ArrayDeque<>();

	private int size;

	private int capacity;

	/**
	 * Returns the number of bytes.
	 * @return number of bytes that were added and not written
	 */
	int size() {
		return this.size;
	}

	/**
	 * Returns the memory that the bytes occupy.
	 * @return number of bytes, those of shared blocks included
	 */
	int capacity() {
		return this.capacity;
	}

	/**
	 * Adds bytes at the end.
	 * @param part the bytes, not modified afterwards
	 */
	void add(byte[] part) {
		add(ByteBuffer.wrap(part));
	}

	/**
	 * Adds bytes at the end.
	 * @param rest the bytes up to the end of the buffer, not modified afterwards
	 */
	void add(ByteBuffer rest) {
		this.size += rest.remaining();
		if (!this.blocks.isEmpty()) {
			append(this.blocks.peekLast(), rest);
		}
		boolean shared = !this.blocks.isEmpty() && rest.remaining() < BLOCK_BYTES;
		if (shared && rest.hasRemaining()) {
			ByteBuffer block = ByteBuffer.allocate(BLOCK_BYTES).limit(0);
			append(block, rest);
			addBlock(block);
		}
		else if (rest.hasRemaining()) {
			addBlock(rest);
		}
	}

	private void addBlock(ByteBuffer block) {
		this.blocks.addLast(block);
		this.capacity += block.capacity();
	}

	private static void append(ByteBuffer block, ByteBuffer rest) {
		int end = block.limit();
		int count = Math.min(rest.remaining(), block.capacity() - end);
		block.limit(end + count);
		block.put(end, rest, rest.position(), count);
		rest.position(rest.position() + count);
	}

	/**
	 * Writes as many bytes as a channel takes.
	 * @param sink the channel
	 * @return {@code true} if no bytes are left
	 * @throws IOException if the channel is broken
	 */
	boolean writeTo(StreamSinkChannel sink) throws IOException {
		while (!this.blocks.isEmpty()) {
			ByteBuffer next = this.blocks.peekFirst();
			this.size -= sink.write(next);
			if (next.hasRemaining()) {
				return false;
			}
			this.blocks.removeFirst();
			this.capacity -= next.capacity();
		}
		return true;
	}

}
