package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests {@link TurnLimitedExecutor}.
 */
class TurnLimitedExecutorTests {

	private static final int TASKS = 30;

	/** Duration of each task, so long that one of them uses up a turn. */
	private static final long TASK_MILLIS = 10;

	private static final long RESULT_TIMEOUT_MILLIS = 8_000;

	private final List<Integer> executed = Collections.synchronizedList(new ArrayList<>());

	private final CompletableFuture<Void> lastExecuted = new CompletableFuture<>();

	private XnioWorker worker;

	private XnioIoThread ioThread;

	private TurnLimitedExecutor executor;

	@BeforeEach
	void startIoThread() throws IOException {
		this.worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
		this.ioThread = this.worker.getIoThread(0);
		this.executor = new TurnLimitedExecutor(this.ioThread);
	}

	@AfterEach
	void stopIoThread() {
		this.worker.shutdownNow();
	}

	private void runTask(int number) {
		try {
			Thread.sleep(TASK_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
		this.executed.add(number);
		if (number == TASKS - 1) {
			this.lastExecuted.complete(null);
		}
	}

	private void awaitLastTask() throws Exception {
		this.lastExecuted.get(RESULT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static List<Integer> taskNumbers() {
		return IntStream.range(0, TASKS).boxed().toList();
	}

	// A burst of accepted connections reaches the thread as one task for each.
	private void executeBurst() {
		taskNumbers().forEach((number) -> this.ioThread.execute(() -> this.executor.execute(() -> runTask(number))));
	}

	@Test
	void readyChannelIsHandledWhileTasksWait() throws Exception {
		CompletableFuture<Integer> executedBefore = new CompletableFuture<>();
		ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = this.ioThread.createHalfDuplexPipe();
		pipe.getLeftSide().getReadSetter().set((ChannelListener<StreamSourceChannel>) (source) -> {
			source.suspendReads();
			executedBefore.complete(this.executed.size());
		});
		pipe.getRightSide().write(ByteBuffer.allocate(1));
		this.ioThread.execute(() -> {
			pipe.getLeftSide().resumeReads();
			executeBurst();
		});
		assertThat(executedBefore.get(RESULT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(lessThanOrEqualTo(1)));
	}

	@Test
	void tasksRunInOrder() throws Exception {
		this.ioThread.execute(this::executeBurst);
		awaitLastTask();
		assertThat(this.executed, is(taskNumbers()));
	}

	@Test
	void tasksAfterOneThatThrowsAreRun() throws Exception {
		this.ioThread.execute(() -> {
			this.ioThread.execute(() -> this.executor.execute(() -> runTask(0)));
			this.ioThread.execute(() -> this.executor.execute(() -> {
				throw new IllegalStateException("thrown by a task");
			}));
			this.ioThread.execute(() -> this.executor.execute(() -> runTask(TASKS - 1)));
		});
		awaitLastTask();
		assertThat(this.executed, is(List.of(0, TASKS - 1)));
	}

	@Test
	void waitingTasksAreCounted() throws Exception {
		CompletableFuture<Integer> waiting = new CompletableFuture<>();
		this.ioThread.execute(() -> {
			taskNumbers().forEach((number) -> this.executor.execute(() -> runTask(number)));
			waiting.complete(this.executor.waitingTasks());
		});
		assertThat(waiting.get(RESULT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(TASKS - 1));
		awaitLastTask();
		assertThat(this.executor.waitingTasks(), is(0));
	}

}
