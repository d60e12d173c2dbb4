package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.hamcrest.Matcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

import org.skylarkspring.gateway.pressure.ResponseMemory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests {@link CallerResponseWriter} with callers whose connection takes a limited number
 * of bytes at a time.
 */
class CallerResponseWriterTests {

	private static final int READ_TIMEOUT_MILLIS = 5_000;

	private static final int PART_BYTES = 16 * 1024;

	private static final int PARTS = 64;

	/** More than the buffers of a connection take. */
	private static final int LARGE_BODY_BYTES = 32 * 1024 * 1024;

	private static final int TAKEN_BODY_BYTES = 512 * 1024;

	private static final int SLOW_CALLERS = 20;

	/** Memory that one pending byte may occupy. */
	private static final long MAXIMUM_BYTES_FOR_PENDING_BYTE = 5;

	private Undertow server;

	private int bytesPerWrite;

	private int writtenParts;

	private CallerResponseWriter writer;

	private final ResponseMemory memory = new ResponseMemory();

	private final AtomicInteger suspendedWriters = new AtomicInteger();

	private volatile Consumer<HttpServerExchange> responder = this::respond;

	@BeforeEach
	void startServer() {
		this.server = Undertow.builder()
			.setIoThreads(1)
			.addHttpListener(0, "127.0.0.1",
					(exchange) -> exchange.dispatch(exchange.getIoThread(), () -> this.responder.accept(exchange)))
			.build();
		this.server.start();
	}

	@AfterEach
	void stopServer() {
		this.server.stop();
	}

	private void respond(HttpServerExchange exchange) {
		exchange.addResponseWrapper((factory, ignored) -> new LimitedConduit(factory.create(), this.bytesPerWrite));
		this.writer = new CallerResponseWriter(exchange, this::writeParts, this.memory);
		this.writer.startResponse(200, new HeaderMap());
		writeParts();
	}

	// Like a server whose response is read until the writer asks to suspend the reads.
	private void writeParts() {
		boolean reading = true;
		while (reading && this.writtenParts < PARTS) {
			this.writtenParts++;
			reading = this.writer.write("x".repeat(PART_BYTES).getBytes(StandardCharsets.US_ASCII));
		}
		if (reading) {
			this.writer.end();
		}
	}

	private Socket openConnection() throws IOException {
		int port = ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
		Socket caller = new Socket("127.0.0.1", port);
		caller.setSoTimeout(READ_TIMEOUT_MILLIS);
		return caller;
	}

	private Socket openCaller() throws IOException {
		Socket caller = openConnection();
		caller.getOutputStream()
			.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		return caller;
	}

	private long countResponseBytes(char counted) throws IOException {
		try (Socket caller = openCaller()) {
			String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			return response.chars().filter((character) -> character == counted).count();
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1_000, 10_000, 40_000, 100_000 })
	void responseToCallerThatTakesPendingBytesInSeveralStepsIsResumed(int bytes) throws IOException {
		this.bytesPerWrite = bytes;
		assertThat(countResponseBytes('x'), is((long) PARTS * PART_BYTES));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void idleConnectionDoesNotKeepTheResponseThatItsCallerHasTaken(boolean whole) throws Exception {
		long before = usedBytesAfterCollection();
		this.responder = (exchange) -> respondAtOnce(exchange, whole);
		List<Socket> callers = new ArrayList<>();
		for (int number = 0; number < SLOW_CALLERS; number++) {
			Socket caller = openConnection();
			caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			assertThat(caller.getInputStream().readNBytes(TAKEN_BODY_BYTES).length, is(TAKEN_BODY_BYTES));
			callers.add(caller);
		}
		assertThat(usedBytesAfterCollection() - before, lessThan(SLOW_CALLERS * TAKEN_BODY_BYTES / 2L));
		for (Socket caller : callers) {
			caller.close();
		}
	}

	private void respondAtOnce(HttpServerExchange exchange, boolean whole) {
		CallerResponseWriter responseWriter = new CallerResponseWriter(exchange, () -> {
		}, this.memory);
		if (whole) {
			responseWriter.sendComplete(200, new HeaderMap(), new byte[TAKEN_BODY_BYTES]);
			return;
		}
		responseWriter.startResponse(200, new HeaderMap());
		responseWriter.write(new byte[TAKEN_BODY_BYTES]);
		responseWriter.end();
	}

	@Test
	void completeResponseHoldsNoMemoryOnceTheCallerHasTakenIt() throws Exception {
		this.bytesPerWrite = 10_000;
		countResponseBytes('x');
		awaitHeldBytes(is(0L));
	}

	@Test
	void responsesOfCallersThatLeaveWithoutReadingHoldNoMemory() throws Exception {
		this.responder = (exchange) -> {
			CallerResponseWriter endless = new CallerResponseWriter(exchange, () -> {
			}, this.memory);
			endless.startResponse(200, new HeaderMap());
			boolean reading = true;
			while (reading) {
				reading = endless.write(new byte[PART_BYTES]);
			}
			endless.end();
			this.suspendedWriters.incrementAndGet();
		};
		try (Socket first = openCaller(); Socket second = openCaller()) {
			awaitSuspendedWriters(2);
			assertThat(this.memory.heldBytes(), greaterThan(2L * ResponseMemory.MAXIMUM_RESPONSE_BYTES));
		}
		awaitHeldBytes(is(0L));
	}

	@Test
	void wholeResponsesOfCallersThatLeaveWithoutReadingHoldNoMemory() throws Exception {
		this.responder = (exchange) -> new CallerResponseWriter(exchange, () -> {
		}, this.memory).sendComplete(200, new HeaderMap(), new byte[LARGE_BODY_BYTES]);
		assertHeldUntilCallersLeave(2L * LARGE_BODY_BYTES - 1);
	}

	private void assertHeldUntilCallersLeave(long minimumBytes) throws Exception {
		try (Socket first = openCaller(); Socket second = openCaller()) {
			awaitHeldBytes(greaterThan(minimumBytes));
		}
		awaitHeldBytes(is(0L));
	}

	// A writer whose caller has left never asks to suspend the reads.
	private void awaitSuspendedWriters(int count) throws InterruptedException {
		long end = System.nanoTime() + READ_TIMEOUT_MILLIS * 1_000_000L;
		while (this.suspendedWriters.get() < count && System.nanoTime() < end) {
			Thread.sleep(10);
		}
		assertThat(this.suspendedWriters.get(), is(count));
	}

	private void awaitHeldBytes(Matcher<Long> expected) throws InterruptedException {
		long end = System.nanoTime() + READ_TIMEOUT_MILLIS * 1_000_000L;
		while (!expected.matches(this.memory.heldBytes()) && System.nanoTime() < end) {
			Thread.sleep(10);
		}
		assertThat(this.memory.heldBytes(), expected);
	}

	@Test
	void oneByteAtATimeForCallersThatTakeNothingUsesNoMultipleOfMemory() throws Exception {
		long before = usedBytesAfterCollection();
		List<CallerResponseWriter> writers = new CopyOnWriteArrayList<>();
		this.responder = (exchange) -> writers.add(fillByteByByte(exchange));
		List<Socket> callers = new ArrayList<>();
		for (int number = 0; number < SLOW_CALLERS; number++) {
			callers.add(openCaller());
		}
		awaitSize(writers, SLOW_CALLERS);
		long pending = writers.stream().mapToLong(CallerResponseWriter::pendingBytes).sum();
		assertThat(usedBytesAfterCollection() - before, lessThan(MAXIMUM_BYTES_FOR_PENDING_BYTE * pending));
		for (Socket caller : callers) {
			caller.close();
		}
	}

	private CallerResponseWriter fillByteByByte(HttpServerExchange exchange) {
		exchange.addResponseWrapper((factory, ignored) -> new LimitedConduit(factory.create(), 0));
		CallerResponseWriter writer = new CallerResponseWriter(exchange, () -> {
		}, this.memory);
		writer.startResponse(200, new HeaderMap());
		boolean reading = true;
		while (reading) {
			reading = writer.write(new byte[1]);
		}
		return writer;
	}

	private static void awaitSize(List<CallerResponseWriter> writers, int size) throws InterruptedException {
		long end = System.nanoTime() + READ_TIMEOUT_MILLIS * 1_000_000L;
		while (writers.size() < size && System.nanoTime() < end) {
			Thread.sleep(10);
		}
		assertThat(writers.size(), is(size));
	}

	private static long usedBytesAfterCollection() {
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	/**
	 * Sink that takes a number of bytes each time that it is ready.
	 */
	private static final class LimitedConduit extends AbstractStreamSinkConduit<StreamSinkConduit> {

		private final int bytesPerWrite;

		private boolean full;

		private LimitedConduit(StreamSinkConduit next, int bytesPerWrite) {
			super(next);
			this.bytesPerWrite = bytesPerWrite;
		}

		@Override
		public int write(ByteBuffer source) throws IOException {
			this.full = !this.full;
			if (!this.full) {
				return 0;
			}
			ByteBuffer part = source.slice().limit(Math.min(source.remaining(), this.bytesPerWrite));
			int count = super.write(part);
			source.position(source.position() + count);
			return count;
		}

	}

}
