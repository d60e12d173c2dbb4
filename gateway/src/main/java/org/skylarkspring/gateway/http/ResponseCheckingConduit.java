package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Conduit that applies {@link ResponseChecks} to the bytes read from a connection.
 */
final class ResponseCheckingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private final ResponseChecks checks;

	ResponseCheckingConduit(StreamSourceConduit next, ResponseChecks checks) {
		super(next);
		this.checks = checks;
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
			this.checks.markEndOfInput();
		}
	}

	private void receive(ByteBuffer buffer, int start) throws IOException {
		if (buffer.position() > start) {
			this.checks.receive(buffer.duplicate().flip().position(start));
		}
	}

}
