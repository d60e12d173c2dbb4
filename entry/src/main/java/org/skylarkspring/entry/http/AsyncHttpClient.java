package org.skylarkspring.entry.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import org.skylarkspring.core.model.Verdict;

/**
 * Asynchronous HTTP client that buffers the complete response. A request that times out
 * is cancelled and its connection is closed.
 */
public final class AsyncHttpClient {

	private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

	private final XnioWorker worker;

	private final HttpConnectionPool connectionPool;

	/**
	 * Creates a client.
	 * @param worker worker that provides the I/O threads
	 * @param connectionPool pool from which connections are acquired
	 */
	public AsyncHttpClient(XnioWorker worker, HttpConnectionPool connectionPool) {
		this.worker = worker;
		this.connectionPool = connectionPool;
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param timeoutMillis timeout for receiving the complete response, in milliseconds
	 * @return a future of the response; it fails with {@link HttpClientException}
	 */
	public CompletableFuture<HttpClientResponse> send(HttpClientRequest request, long timeoutMillis) {
		CompletableFuture<HttpClientResponse> responseFuture = new CompletableFuture<>();
		XnioIoThread ioThread = this.worker.getIoThread();
		ioThread.execute(() -> startExchange(ioThread, request, timeoutMillis, responseFuture));
		return responseFuture;
	}

	private void startExchange(XnioIoThread ioThread, HttpClientRequest request, long timeoutMillis,
			CompletableFuture<HttpClientResponse> responseFuture) {
		ResponseCollector collector = new ResponseCollector(MAXIMUM_RESPONSE_BYTES, responseFuture::complete,
				(verdict, message) -> responseFuture.completeExceptionally(new HttpClientException(message, verdict)));
		HttpClientExchange exchange = new HttpClientExchange(this.connectionPool, ioThread, request, collector);
		XnioIoThread.Key timeout = ioThread.executeAfter(() -> {
			exchange.cancel();
			responseFuture.completeExceptionally(new HttpClientException(
					"no complete response within " + timeoutMillis + " ms", Verdict.MAY_HAVE_RUN));
		}, timeoutMillis, TimeUnit.MILLISECONDS);
		responseFuture.whenComplete((result, failure) -> timeout.remove());
		exchange.start();
	}

}
