package org.skylarkspring.entry.internal;

import com.google.gson.annotations.SerializedName;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.http.Json;

/**
 * Problem document according to RFC 9457, the body of error responses.
 *
 * @param type URI reference that identifies the problem type
 * @param title summary of the problem type for humans
 * @param status HTTP status code
 * @param code stable error code for use by programs
 * @param verdict whether the request may have run
 * @param deliveredTokens number of tokens already delivered to the caller
 * @param retryAfterMillis time in milliseconds after which the caller should retry, 0 if
 * it should not retry
 */
record ProblemDetails(String type, String title, int status, String code, String verdict,
		@SerializedName("delivered_tokens") int deliveredTokens,
		@SerializedName("retry_after_millis") long retryAfterMillis) {

	private static final int MILLIS_PER_SECOND = 1_000;

	static ProblemDetails of(Outcome.Failed failed) {
		ErrorCode code = failed.errorCode();
		return new ProblemDetails("/problems/" + code.wireName(), code.wireName().replace('-', ' '), code.httpStatus(),
				code.wireName(), failed.verdict().wireName(), failed.deliveredTokens(), failed.retryAfterMillis());
	}

	static ProblemDetails notRun(ErrorCode code, long retryAfterMillis) {
		return of(new Outcome.Failed(code, Verdict.NOT_RUN, 0, retryAfterMillis));
	}

	void send(HttpServerExchange exchange) {
		if (exchange.isResponseStarted()) {
			exchange.endExchange();
			return;
		}
		exchange.setStatusCode(this.status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
		if (this.retryAfterMillis > 0) {
			long seconds = (this.retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
		}
		exchange.getResponseSender().send(Json.write(this));
	}

}
