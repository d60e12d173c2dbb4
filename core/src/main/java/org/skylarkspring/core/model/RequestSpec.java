package org.skylarkspring.core.model;

import java.util.Optional;

/**
 * What the core needs to know of a caller's request. Build one with
 * {@link RequestSpecBuilder}: <pre class="code">
 * RequestSpec spec = RequestSpec.builder("modelo-editorial", "lecturas").promptTokens(120).build();
 * </pre>
 *
 * @param service name of the service
 * @param workspace name of the workspace
 * @param promptTokens number of tokens of the prompt
 * @param prefixHash hash of the prompt's reusable prefix, 0 for none
 * @param prefixTokens number of tokens of the reusable prefix
 * @param maximumOutputTokens limit set by the caller
 * @param streamed whether the caller reads the answer token by token
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey key of a request that must run at most once
 * @param bodyDigest digest of the body
 * @param receivedAtEpochMillis wall clock time of arrival
 * @param deadlineMillis how long the caller waits for the first token or the answer
 */
public record RequestSpec(String service, String workspace, int promptTokens, long prefixHash, int prefixTokens,
		int maximumOutputTokens, boolean streamed, boolean idempotent, Optional<String> idempotencyKey,
		String bodyDigest, long receivedAtEpochMillis, long deadlineMillis) {

	/**
	 * Starts a specification.
	 * @param service name of the service
	 * @param workspace name of the workspace
	 * @return a builder
	 */
	public static RequestSpecBuilder builder(String service, String workspace) {
		return new RequestSpecBuilder(service, workspace);
	}

}
