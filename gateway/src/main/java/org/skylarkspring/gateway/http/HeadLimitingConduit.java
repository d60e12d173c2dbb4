package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Conduit that applies a {@link ResponseHeadLimit}, its {@link HeadSyntaxCheck} and its
 * {@link ResponseChunkCheck} to the bytes read from a connection.
 */
final class HeadLimitingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private final ResponseHeadLimit limit;

	private final ResponseChunkCheck chunkCheck;

	HeadLimitingConduit(StreamSourceConduit next, ResponseHeadLimit limit) {
		super(next);
		this.limit = limit;
		this.chunkCheck = limit.chunkCheck();
	}

	@Override
	public int read(ByteBuffer buffer) throws IOException {
		int start = buffer.position();
		int count = super.read(buffer);
		recordEnd(count);
		receive(buffer, start);
		return count;
	}

	@Override
	public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
		int[] starts = Arrays.stream(buffers).mapToInt(ByteBuffer::position).toArray();
		long count = super.read(buffers, offset, length);
		recordEnd(count);
		for (int index = offset; index < offset + length; index++) {
			receive(buffers[index], starts[index]);
		}
		return count;
	}

	private void recordEnd(long count) {
		if (count < 0) {
			this.limit.markEndOfInput();
		}
	}

	private void receive(ByteBuffer buffer, int start) throws IOException {
		int count = buffer.position() - start;
		if (count > 0) {
			requireValidHead(buffer.duplicate().flip().position(start));
			this.chunkCheck.receive(buffer.duplicate().flip().position(start));
			this.chunkCheck.requireWithinLimit();
			this.limit.countReceived(count);
		}
	}

	private void requireValidHead(ByteBuffer bytes) throws IOException {
		this.limit.headCheck().receive(bytes);
		Optional<String> fault = this.limit.headCheck().fault();
		if (fault.isPresent()) {
			throw new IOException(fault.get());
		}
	}

}
