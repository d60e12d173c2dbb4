package org.skylarkspring.core.model;

import java.util.Objects;
import java.util.Optional;

/**
 * Builds a {@link RequestSpec}.
 */
public final class RequestSpecBuilder {

	private static final int DEFAULT_MAXIMUM_OUTPUT_TOKENS = 32_768;

	private static final long DEFAULT_DEADLINE_MILLIS = 10_000;

	private final String service;

	private final String workspace;

	private int promptTokens;

	private long prefixHash;

	private int prefixTokens;

	private int maximumOutputTokens = DEFAULT_MAXIMUM_OUTPUT_TOKENS;

	private boolean streamed = true;

	private boolean idempotent = true;

	private String idempotencyKey;

	private String bodyDigest = "";

	private long receivedAtEpochMillis;

	private long deadlineMillis = DEFAULT_DEADLINE_MILLIS;

	RequestSpecBuilder(String service, String workspace) {
		this.service = Objects.requireNonNull(service, "service must not be null");
		this.workspace = Objects.requireNonNull(workspace, "workspace must not be null");
	}

	/**
	 * Sets the size of the prompt.
	 * @param promptTokens number of tokens, not negative
	 * @return this builder
	 * @throws IllegalArgumentException if the number is negative
	 */
	public RequestSpecBuilder promptTokens(int promptTokens) {
		if (promptTokens < 0) {
			throw new IllegalArgumentException("promptTokens must not be negative: " + promptTokens);
		}
		this.promptTokens = promptTokens;
		return this;
	}

	/**
	 * Sets the prompt prefix that can be cached.
	 * @param prefixHash hash of the prefix, 0 for none
	 * @param prefixTokens number of tokens in the prefix
	 * @return this builder
	 */
	public RequestSpecBuilder prefix(long prefixHash, int prefixTokens) {
		this.prefixHash = prefixHash;
		this.prefixTokens = prefixTokens;
		return this;
	}

	/**
	 * Sets the maximum number of output tokens.
	 * @param maximumOutputTokens number of tokens, at least 1
	 * @return this builder
	 * @throws IllegalArgumentException if the number is below 1
	 */
	public RequestSpecBuilder maximumOutputTokens(int maximumOutputTokens) {
		if (maximumOutputTokens < 1) {
			throw new IllegalArgumentException("maximumOutputTokens must be at least 1: " + maximumOutputTokens);
		}
		this.maximumOutputTokens = maximumOutputTokens;
		return this;
	}

	/**
	 * Sets whether the response is streamed token by token.
	 * @param streamed {@code false} to return the complete response at once
	 * @return this builder
	 */
	public RequestSpecBuilder streamed(boolean streamed) {
		this.streamed = streamed;
		return this;
	}

	/**
	 * Sets whether the request may run more than once.
	 * @param idempotent {@code false} for a request that must run at most once
	 * @return this builder
	 */
	public RequestSpecBuilder idempotent(boolean idempotent) {
		this.idempotent = idempotent;
		return this;
	}

	/**
	 * Sets the idempotency key.
	 * @param idempotencyKey the key, {@code null} for none
	 * @return this builder
	 */
	public RequestSpecBuilder idempotencyKey(String idempotencyKey) {
		this.idempotencyKey = idempotencyKey;
		return this;
	}

	/**
	 * Sets the digest of the request body.
	 * @param bodyDigest the digest, not {@code null}
	 * @return this builder
	 */
	public RequestSpecBuilder bodyDigest(String bodyDigest) {
		this.bodyDigest = Objects.requireNonNull(bodyDigest, "bodyDigest must not be null");
		return this;
	}

	/**
	 * Sets the wall-clock time of arrival.
	 * @param receivedAtEpochMillis milliseconds since the epoch
	 * @return this builder
	 */
	public RequestSpecBuilder receivedAtEpochMillis(long receivedAtEpochMillis) {
		this.receivedAtEpochMillis = receivedAtEpochMillis;
		return this;
	}

	/**
	 * Sets the time within which the caller expects the first token, or the whole
	 * response if it is not streamed.
	 * @param deadlineMillis time after arrival in milliseconds
	 * @return this builder
	 */
	public RequestSpecBuilder deadlineMillis(long deadlineMillis) {
		this.deadlineMillis = deadlineMillis;
		return this;
	}

	/**
	 * Builds the specification.
	 * @return a new specification
	 */
	public RequestSpec build() {
		return new RequestSpec(this.service, this.workspace, this.promptTokens, this.prefixHash, this.prefixTokens,
				this.maximumOutputTokens, this.streamed, this.idempotent, Optional.ofNullable(this.idempotencyKey),
				this.bodyDigest, this.receivedAtEpochMillis, this.deadlineMillis);
	}

}
