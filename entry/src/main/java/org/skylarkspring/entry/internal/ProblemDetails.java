package org.skylarkspring.entry.internal;

import com.google.gson.annotations.SerializedName;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.http.Json;

/**
 * A problem document as of RFC 9457.
 *
 * @param type URI reference of the kind of problem
 * @param title the kind of problem in words
 * @param status HTTP status
 * @param code stable code
 * @param verdict whether the request may have run
 * @param deliveredTokens tokens the caller already has
 * @param retryAfterMillis when to come back, 0 for never
 */
record ProblemDetails(String type, String title, int status, String code, String verdict,
		@SerializedName("delivered_tokens") int deliveredTokens,
		@SerializedName("retry_after_millis") long retryAfterMillis) {

	private static final int MILLIS_PER_SECOND = 1_000;

	static ProblemDetails of(Outcome.Failed refused) {
		ErrorCode code = refused.errorCode();
		return new ProblemDetails("/problems/" + code.wireName(), code.wireName().replace('-', ' '), code.httpStatus(),
				code.wireName(), refused.verdict().wireName(), refused.deliveredTokens(), refused.retryAfterMillis());
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
