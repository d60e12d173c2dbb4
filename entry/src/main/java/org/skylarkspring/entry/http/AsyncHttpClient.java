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
public final class AsyncHttpClient {

	private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

	private final XnioWorker worker;

	private final HttpConnectionPool connectionPool;

	/**
	 * Creates a caller.
	 * @param worker threads for input and output
	 * @param connectionPool connections to use
	 */
	public AsyncHttpClient(XnioWorker worker, HttpConnectionPool connectionPool) {
		this.worker = worker;
		this.connectionPool = connectionPool;
	}

	/**
	 * Makes a call.
	 * @param call the call
	 * @param timeoutMillis time for the whole response
	 * @return the response; fails with {@link HttpClientException}
	 */
	public CompletableFuture<HttpClientResponse> send(HttpClientRequest call, long timeoutMillis) {
		CompletableFuture<HttpClientResponse> reply = new CompletableFuture<>();
		XnioIoThread ioThread = this.worker.getIoThread();
		ioThread.execute(() -> startExchange(ioThread, call, timeoutMillis, reply));
		return reply;
	}

	private void startExchange(XnioIoThread ioThread, HttpClientRequest call, long timeoutMillis,
			CompletableFuture<HttpClientResponse> reply) {
		ResponseCollector collector = new ResponseCollector(MAXIMUM_RESPONSE_BYTES, reply::complete,
				(verdict, message) -> reply.completeExceptionally(new HttpClientException(message, verdict)));
		HttpClientExchange exchange = new HttpClientExchange(this.connectionPool, ioThread, call, collector);
		XnioIoThread.Key timeout = ioThread.executeAfter(() -> {
			exchange.cancel();
			reply.completeExceptionally(new HttpClientException("no answer in time", Verdict.MAY_HAVE_RUN));
		}, timeoutMillis, TimeUnit.MILLISECONDS);
		reply.whenComplete((result, failure) -> timeout.remove());
		exchange.start();
	}

}
