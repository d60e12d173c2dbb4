package org.skylarkspring.core;

/**
 * Sequences the tokens of one response to a caller: each token is delivered exactly once,
 * in order, and from a single generation. <pre class="code">
 * TokenSequencer sequencer = new TokenSequencer();
 * sequencer.beginAttempt(attemptId, 0);
 * if (sequencer.accept(attemptId, "g-1", offset) == TokenSequencer.Decision.DELIVER) { ... }
 * </pre> Not thread-safe.
 */
public final class TokenSequencer {

	private long attemptId = -1;

	private String generationId;

	private int nextOffset;

	/**
	 * Begins an attempt. Only its tokens are accepted afterwards.
	 * @param newAttemptId number of the attempt
	 * @param offset offset within the generation of the first token that the attempt
	 * sends
	 * @return {@code false} if the attempt would mix two generations or leave a gap; its
	 * tokens must then not be used
	 */
	public boolean beginAttempt(long newAttemptId, int offset) {
		if (offset != this.nextOffset) {
			return false;
		}
		if (offset == 0) {
			this.generationId = null;
		}
		this.attemptId = newAttemptId;
		return true;
	}

	/**
	 * Resets the sequence to offset 0 after buffered tokens were discarded. Must be
	 * called only while the caller has not received any token.
	 */
	public void reset() {
		this.attemptId = -1;
		this.generationId = null;
		this.nextOffset = 0;
	}

	/**
	 * Decides whether a received token is delivered, and advances the sequence if so.
	 * @param fromAttemptId number of the attempt that sent the token
	 * @param fromGeneration generation the token belongs to, not {@code null}
	 * @param offset offset of the token within the generation
	 * @return what to do with the token
	 */
	public Decision accept(long fromAttemptId, String fromGeneration, int offset) {
		if (fromAttemptId != this.attemptId) {
			return Decision.FOREIGN;
		}
		if (this.generationId != null && !this.generationId.equals(fromGeneration)) {
			return Decision.FOREIGN;
		}
		if (offset < this.nextOffset) {
			return Decision.DUPLICATE;
		}
		if (offset > this.nextOffset) {
			return Decision.GAP;
		}
		this.generationId = fromGeneration;
		this.nextOffset++;
		return Decision.DELIVER;
	}

	/**
	 * Returns the number of tokens delivered.
	 * @return number of tokens
	 */
	public int deliveredTokens() {
		return this.nextOffset;
	}

	/**
	 * Decision on a received token.
	 */
	public enum Decision {

		/** The token is the next one; deliver it. */
		DELIVER,

		/** The token was delivered before; drop it. */
		DUPLICATE,

		/** The token belongs to another attempt or generation; drop it. */
		FOREIGN,

		/** Tokens before this one are missing; the attempt has failed. */
		GAP

	}

}
