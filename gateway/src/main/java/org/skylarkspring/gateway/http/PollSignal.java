package org.skylarkspring.gateway.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Tells when an I/O thread has polled its sockets and handled what had arrived. The
 * thread runs all tasks and all timers that are due before it polls, so that neither of
 * them can tell; a pipe that is always readable can. <pre class="code">
 * PollSignal signal = new PollSignal(ioThread, this::onPolled);
 * signal.request();
 * </pre>
 */
public final class PollSignal {

	private final XnioIoThread ioThread;

	private final Runnable onPolled;

	private final ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe;

	/**
	 * Creates a signal.
	 * @param ioThread the thread
	 * @param onPolled task to run on the thread after each requested poll
	 * @throws IOException if the pipe cannot be created
	 */
	public PollSignal(XnioIoThread ioThread, Runnable onPolled) throws IOException {
		this.ioThread = ioThread;
		this.onPolled = onPolled;
		this.pipe = ioThread.createHalfDuplexPipe();
		this.pipe.getLeftSide().getReadSetter().set((ChannelListener<StreamSourceChannel>) this::onReadable);
		this.pipe.getRightSide().write(ByteBuffer.allocate(1));
	}

	/**
	 * Requests that the task is run once after the next poll. Must be called on the I/O
	 * thread.
	 */
	public void request() {
		this.pipe.getLeftSide().resumeReads();
	}

	// Sockets that the same poll found ready may not have been handled yet. The task runs
	// when all of them have been.
	private void onReadable(StreamSourceChannel source) {
		source.suspendReads();
		this.ioThread.execute(this.onPolled);
	}

}
