package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Conduit that tells a {@link WriteTracker} of the bytes that the socket has accepted. A
 * write that fails has accepted none.
 */
final class WriteTrackingConduit extends AbstractStreamSinkConduit<StreamSinkConduit> {

	private final WriteTracker tracker;

	WriteTrackingConduit(StreamSinkConduit next, WriteTracker tracker) {
		super(next);
		this.tracker = tracker;
	}

	@Override
	public int write(ByteBuffer source) throws IOException {
		return (int) track(super.write(source));
	}

	@Override
	public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
		return track(super.write(sources, offset, length));
	}

	@Override
	public int writeFinal(ByteBuffer source) throws IOException {
		return (int) track(super.writeFinal(source));
	}

	@Override
	public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
		return track(super.writeFinal(sources, offset, length));
	}

	@Override
	public long transferFrom(FileChannel source, long position, long count) throws IOException {
		return track(super.transferFrom(source, position, count));
	}

	@Override
	public long transferFrom(StreamSourceChannel source, long count, ByteBuffer throughBuffer) throws IOException {
		return track(super.transferFrom(source, count, throughBuffer));
	}

	private long track(long bytes) {
		this.tracker.countWritten(bytes);
		return bytes;
	}

}
