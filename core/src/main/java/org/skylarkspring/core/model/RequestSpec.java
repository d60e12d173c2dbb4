package org.skylarkspring.core.model;

import java.util.Optional;

/**
 * Properties of a caller's request that the decision core uses. Built with
 * {@link RequestSpecBuilder}: <pre class="code">
 * RequestSpec spec = RequestSpec.builder("modelo-editorial", "lecturas").promptTokens(120).build();
 * </pre>
 *
 * @param service name of the service
 * @param workspace name of the workspace
 * @param promptTokens number of tokens in the prompt
 * @param prefixHash hash of the prompt prefix that can be cached, 0 for none
 * @param prefixTokens number of tokens in this prefix
 * @param maximumOutputTokens maximum number of output tokens, set by the caller
 * @param streamed whether the response is streamed to the caller token by token
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey idempotency key of a request that must run at most once, empty if
 * the request has none
 * @param bodyDigest digest of the request body
 * @param receivedAtEpochMillis wall-clock time of arrival in milliseconds since the epoch
 * @param deadlineMillis time in milliseconds after arrival within which the caller
 * expects the first token, or the whole response if it is not streamed
 */
public record RequestSpec(String service, String workspace, int promptTokens, long prefixHash, int prefixTokens,
		int maximumOutputTokens, boolean streamed, boolean idempotent, Optional<String> idempotencyKey,
		String bodyDigest, long receivedAtEpochMillis, long deadlineMillis) {

	/**
	 * Starts building a specification.
	 * @param service name of the service
	 * @param workspace name of the workspace
	 * @return a builder
	 */
	public static RequestSpecBuilder builder(String service, String workspace) {
		return new RequestSpecBuilder(service, workspace);
	}

}
