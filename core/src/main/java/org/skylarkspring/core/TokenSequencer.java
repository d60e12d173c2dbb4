package org.skylarkspring.core;

/**
 * Guards the order of one caller's answer: every token is delivered once, in order, from
 * a single generation. <pre class="code">
 * TokenSequencer sequence = new TokenSequencer();
 * sequence.begin(attemptId, 0);
 * if (sequence.admit(attemptId, "g-1", offset) == TokenSequencer.Admission.DELIVER) { ... }
 * </pre> Not safe for use by several threads at once.
 */
public final class TokenSequencer {

	private long attemptId = -1;

	private String generationId;

	private int nextOffset;

	/**
	 * Makes an attempt the source of the answer.
	 * @param newAttemptId number of the attempt
	 * @param offset offset of the first token the attempt will bring
	 * @return {@code false} if the attempt would mix two generations or leave a gap; it
	 * must then not be used
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
	 * Forgets what was buffered, for a caller that has not received any token yet.
	 */
	public void reset() {
		this.attemptId = -1;
		this.generationId = null;
		this.nextOffset = 0;
	}

	/**
	 * Decides on one token.
	 * @param fromAttemptId attempt that brought the token
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
	 * What to do with a token.
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
