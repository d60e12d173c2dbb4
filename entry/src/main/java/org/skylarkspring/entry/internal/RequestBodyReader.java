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
 * Reads a request body whole, within a maximum size and a maximum time.
 */
final class RequestBodyReader {

	private final long timeoutMillis;

	RequestBodyReader(long timeoutMillis) {
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Reads the body and goes on with it on the exchange's I/O thread. A body that is too
	 * large or too slow is refused.
	 * @param exchange the exchange
	 * @param maximumBytes largest body
	 * @param continuation receives the body
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
		exchange.getRequestReceiver().receiveFullBytes((ready, body) -> {
			timeout.remove();
			ready.dispatch(SameThreadExecutor.INSTANCE, () -> continuation.accept(body));
		}, (failed, failure) -> {
			timeout.remove();
			boolean tooLarge = failure instanceof RequestTooBigException;
			rejectAndClose(failed, tooLarge ? ErrorCode.TOO_LARGE : ErrorCode.MALFORMED);
		});
	}

	private static void rejectAndClose(HttpServerExchange exchange, ErrorCode code) {
		exchange.setPersistent(false);
		exchange.addExchangeCompleteListener((ended, next) -> {
			next.proceed();
			IoUtils.safeClose(ended.getConnection());
		});
		ProblemDetails.notRun(code, 0).send(exchange);
	}

}
