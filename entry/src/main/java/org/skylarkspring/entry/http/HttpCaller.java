package org.skylarkspring.entry.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import org.skylarkspring.core.model.Verdict;

/**
 * Makes calls whose whole response is wanted, with a timeout. A call that ran out of time
 * is cancelled with its connection.
 */
public final class HttpCaller {

	private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

	private final XnioWorker worker;

	private final HttpConnections connections;

	/**
	 * Creates a caller.
	 * @param worker threads for input and output
	 * @param connections connections to use
	 */
	public HttpCaller(XnioWorker worker, HttpConnections connections) {
		this.worker = worker;
		this.connections = connections;
	}

	/**
	 * Makes a call.
	 * @param call the call
	 * @param timeoutMillis time for the whole response
	 * @return the response; fails with {@link HttpFailure}
	 */
	public CompletableFuture<HttpReply> call(HttpCall call, long timeoutMillis) {
		CompletableFuture<HttpReply> reply = new CompletableFuture<>();
		XnioIoThread ioThread = this.worker.getIoThread();
		ioThread.execute(() -> start(ioThread, call, timeoutMillis, reply));
		return reply;
	}

	private void start(XnioIoThread ioThread, HttpCall call, long timeoutMillis, CompletableFuture<HttpReply> reply) {
		BodyCollector collector = new BodyCollector(MAXIMUM_RESPONSE_BYTES, reply::complete,
				(verdict, message) -> reply.completeExceptionally(new HttpFailure(message, verdict)));
		HttpExchange exchange = new HttpExchange(this.connections, ioThread, call, collector);
		XnioIoThread.Key timeout = ioThread.executeAfter(() -> {
			exchange.cancel();
			reply.completeExceptionally(new HttpFailure("no answer in time", Verdict.MAY_HAVE_RUN));
		}, timeoutMillis, TimeUnit.MILLISECONDS);
		reply.whenComplete((result, failure) -> timeout.remove());
		exchange.start();
	}

}
