package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Conduit that applies a {@link ResponseHeadLimit} to the bytes read from a connection.
 */
final class HeadLimitingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private final ResponseHeadLimit limit;

	HeadLimitingConduit(StreamSourceConduit next, ResponseHeadLimit limit) {
		super(next);
		this.limit = limit;
	}

	@Override
	public int read(ByteBuffer buffer) throws IOException {
		int count = super.read(buffer);
		if (count > 0) {
			this.limit.countReceived(count);
		}
		return count;
	}

	@Override
	public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
		long count = super.read(buffers, offset, length);
		if (count > 0) {
			this.limit.countReceived((int) count);
		}
		return count;
	}

}
