package org.skylarkspring.entry.internal;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

import org.skylarkspring.core.model.ErrorCode;

/**
 * Reads complete request bodies within a size limit and a timeout.
 */
final class RequestBodyReader {

	private final long timeoutMillis;

	RequestBodyReader(long timeoutMillis) {
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Reads the body and passes it to the continuation on the exchange's I/O thread. If
	 * the body is too large, malformed or not received in time, sends an error response
	 * and closes the connection.
	 * @param exchange the exchange whose request body is read
	 * @param maximumBytes maximum size of the body in bytes
	 * @param continuation receives the complete body
	 */
	void read(HttpServerExchange exchange, long maximumBytes, Consumer<byte[]> continuation) {
		if (exchange.getRequestContentLength() > maximumBytes) {
			rejectAndClose(exchange, ErrorCode.TOO_LARGE);
			return;
		}
		exchange.setMaxEntitySize(maximumBytes);
		XnioIoThread.Key timeout = exchange.getIoThread()
			.executeAfter(() -> rejectAndClose(exchange, ErrorCode.TOO_SLOW), this.timeoutMillis,
					TimeUnit.MILLISECONDS);
		exchange.getRequestReceiver().receiveFullBytes((receivedExchange, body) -> {
			timeout.remove();
			receivedExchange.dispatch(SameThreadExecutor.INSTANCE, () -> continuation.accept(body));
		}, (failedExchange, failure) -> {
			timeout.remove();
			boolean tooLarge = failure instanceof RequestTooBigException;
			rejectAndClose(failedExchange, tooLarge ? ErrorCode.TOO_LARGE : ErrorCode.MALFORMED);
		});
	}

	private static void rejectAndClose(HttpServerExchange exchange, ErrorCode code) {
		exchange.setPersistent(false);
		exchange.addExchangeCompleteListener((completedExchange, next) -> {
			next.proceed();
			IoUtils.safeClose(completedExchange.getConnection());
		});
		ProblemDetails.notRun(code, 0).send(exchange);
	}

}
